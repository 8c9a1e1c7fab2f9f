/** State of the own lease. */
export interface LeaseStatus {
  /** State of charts/holder.json. */
  readonly state: string;
  readonly epoch: number;
  /** End of the lease on the monotonic clock, in milliseconds. */
  readonly leaseEndMs: number;
  readonly witnesses: readonly string[];
}
