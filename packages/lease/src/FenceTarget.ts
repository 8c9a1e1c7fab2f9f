/** The grant of a lost member, which must have ended before a new owner acts; the fences of a cell have this shape. */
export interface FenceTarget {
  readonly id: number;
  readonly serverId: string;
  readonly epoch: number;
  readonly witnesses: readonly string[];
  /** Time to wait after the last grant expired, in milliseconds, for requests that may outlast the lease. */
  readonly graceMs: number;
}
