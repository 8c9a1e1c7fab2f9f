import type { BackendFacts } from '#proxy/BackendFacts.js';

/** State of the owner task, for the status API and for balancing among backend servers. */
export interface OwnerReport {
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
  readonly slowStart: string;
  readonly backend: BackendFacts | undefined;
  readonly ownedShards: number;
  /** End of the lease on the monotonic clock, in milliseconds; 0 before the first lease. */
  readonly leaseEndMs: number;
  readonly onceRecords: number;
}
