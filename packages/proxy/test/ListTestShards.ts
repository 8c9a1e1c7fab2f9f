import type { Cell } from '#assignment/Cell.js';
import type { OwnedShard } from '#control/OwnedShard.js';

/** Lists the shards of a cell as an ownership update does. */
export function listTestShards(cell: Cell): ReadonlyMap<string, OwnedShard> {
  return new Map(Object.entries(cell.shards).map(([shardId, { token }]) => [shardId, { shardId, token }]));
}
