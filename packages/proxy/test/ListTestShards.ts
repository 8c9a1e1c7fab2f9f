import type { Cell } from '#assignment/Cell.js';
import type { OwnedShard } from '#control/OwnedShard.js';

/** Lists the shards of a cell in the form of an ownership update. */
export function listTestShards(cell: Cell): ReadonlyMap<string, OwnedShard> {
  return new Map(Object.entries(cell.shards).map(([shardId, { token }]) => [shardId, { shardId, token }]));
}
