import type { KeyPopularity } from '#load/KeyPopularity.js';
import type { LoadClass } from '#load/LoadClass.js';

/** Targets, rate and request mix of a load generator. */
export interface LoadSettings {
  /** Base URLs of entry daemons, used in turn. */
  readonly targets: readonly string[];
  readonly ratePerSecond: number;
  readonly maxRequests: number;
  /** Time during which new requests are sent, in milliseconds. */
  readonly maxDurationMs: number;
  /** Initial time without recorded latencies, in milliseconds, while connections are opened and code is compiled. */
  readonly warmUpMs: number;
  /** Requests that come due while this number is in flight are not sent and count as skipped. */
  readonly maxInFlight: number;
  /** Connections to each address. */
  readonly connections: number;
  readonly seed: number;
  readonly keys: KeyPopularity;
  readonly mix: readonly LoadClass[];
  /** Whether requests of a key go directly to the address that a response named in `amr-owner`. */
  readonly followOwner: boolean;
}
