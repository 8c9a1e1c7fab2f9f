import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { ShardLoads } from '#control/ShardLoads.js';

/** Answer to `adminStatus`. */
export interface DaemonReport {
  readonly status: DaemonStatus;
  /** Requests that the owner runs or has queued. */
  readonly requestsInFlight: number;
  /** Requests a second of the hot keys that the daemon owns, by shard id. */
  readonly hotKeyLoads: ShardLoads;
}
