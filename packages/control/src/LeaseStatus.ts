/** State of this daemon's lease, for operators. */
export interface LeaseStatus {
  /** State of charts/holder.json. */
  readonly state: string;
  readonly epoch: number;
  /** End of the lease on the monotonic clock, in milliseconds. */
  readonly leaseEndMs: number;
  readonly witnesses: readonly string[];
  /** Renewals that witnesses granted since the start. */
  readonly granted: number;
  /** Renewals that were refused or not answered since the start. */
  readonly lost: number;
}
