/** A planned move of a shard or hot key in progress. */
export interface ShardMove {
  readonly service: string;
  readonly shardId: string;
  readonly from: string;
  readonly to: string;
  /** `balance`, `drain`, `hot key` or `return`. */
  readonly reason: string;
  /** Wall-clock time of its start, in milliseconds since the Unix epoch. */
  readonly sinceMs: number;
}
