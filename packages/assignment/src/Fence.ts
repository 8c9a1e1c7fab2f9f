/** The grant of a lost member. A new owner may act once a majority of its witnesses promised never to renew it. */
export interface Fence {
  readonly id: number;
  readonly serverId: string;
  readonly epoch: number;
  readonly witnesses: readonly string[];
  /** Time to wait after the last grant expired, in milliseconds, for requests that may outlast the lease. */
  readonly graceMs: number;
}
