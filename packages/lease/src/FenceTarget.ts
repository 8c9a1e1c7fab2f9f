/** A lost grant that a new owner fences off; the fence of a cell has this shape. */
export interface FenceTarget {
  readonly id: number;
  readonly serverId: string;
  readonly epoch: number;
  readonly witnesses: readonly string[];
  /** Time to wait after the last grant expired, in milliseconds, for orders that may outlast the lease. */
  readonly graceMs: number;
}
