import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { ShardLoads } from '#control/ShardLoads.js';

/** Result of the RPC method `adminStatus`. */
export interface DaemonReport {
  readonly status: DaemonStatus;
  /** Requests that the backend server runs or that wait in the owner's queue. */
  readonly requestsInFlight: number;
  /** Requests per second of each hot key that the daemon owns, by shard id. */
  readonly hotKeyLoads: ShardLoads;
}
