import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Options of an `HttpObjectStore`. */
export interface HttpStoreOptions {
  /** Base URL, for example `http://10.0.0.5:7000`. */
  readonly url: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time after which a call counts as failed, in milliseconds; a watch adds its own waiting time. */
  readonly timeoutMs?: number;
  /** Sustained calls a second of this daemon. */
  readonly callsPerSecond?: number;
  /** Calls that may be made at once above the sustained rate. */
  readonly callBurst?: number;
  /** Calls of the burst that look-ups leave to changes. */
  readonly changeReserve?: number;
}
