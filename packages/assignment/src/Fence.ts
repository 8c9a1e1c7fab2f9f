/** A lost grant. A new owner may act only after a majority of these witnesses promised never to renew it. */
export interface Fence {
  readonly id: number;
  readonly serverId: string;
  readonly epoch: number;
  readonly witnesses: readonly string[];
  /** Time to wait after the last grant expired, in milliseconds, for orders that may outlast the lease. */
  readonly graceMs: number;
}
