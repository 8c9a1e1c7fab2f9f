/** A planned move of a shard or hot key that is under way. */
export interface ShardMove {
  readonly service: string;
  readonly shardId: string;
  readonly from: string;
  readonly to: string;
  /** `balance`, `drain`, `hot key` or `return`. */
  readonly reason: string;
  readonly sinceMs: number;
}
