import type { KeyPopularity } from '#load/KeyPopularity.js';
import type { LoadClass } from '#load/LoadClass.js';

/** What a load generator sends. */
export interface LoadSettings {
  /** Base URLs of entry daemons, used in turn. */
  readonly targets: readonly string[];
  readonly ratePerSecond: number;
  readonly maxRequests: number;
  /** Time in which requests are started, in milliseconds. */
  readonly maxDurationMs: number;
  /** Time at the start whose latencies are not recorded, in milliseconds; connections are opened and code is compiled. */
  readonly warmUpMs: number;
  /** Arrivals beyond this number of requests in flight are counted as skipped. */
  readonly maxInFlight: number;
  /** Connections to each address. */
  readonly connections: number;
  readonly seed: number;
  readonly keys: KeyPopularity;
  readonly mix: readonly LoadClass[];
  /** Whether requests of a key go straight to the address that a response named in `amr-owner`. */
  readonly followOwner: boolean;
}
