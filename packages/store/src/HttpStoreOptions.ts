import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Address, timeouts and call budget of an `HttpObjectStore`. */
export interface HttpStoreOptions {
  /** Base URL, for example `http://10.0.0.5:7000`. */
  readonly url: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Timeout of a call in milliseconds; a watch adds its own waiting time. */
  readonly timeoutMs?: number;
  /** Sustained rate of calls of this daemon, per second. */
  readonly callsPerSecond?: number;
  /** Number of calls that may be made at once above the sustained rate. */
  readonly callBurst?: number;
  /** Number of calls of the burst that look-ups must leave for changes. */
  readonly changeReserve?: number;
}
