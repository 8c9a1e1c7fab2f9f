import type { Shard } from '#assignment/Shard.js';

/** A shard and its id. */
export interface FoundShard {
  readonly shardId: string;
  readonly shard: Shard;
}
