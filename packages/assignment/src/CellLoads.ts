/** Load of one cell, from the reports of its members. */
export interface CellLoads {
  /** Requests per second by shard id; shards without a value count as idle. */
  readonly shards: ReadonlyMap<string, number>;
  /** Fraction of its slots that a member may use, in (0, 1], by server id; 1 if absent, lower in a cold start. */
  readonly shares: ReadonlyMap<string, number>;
}
