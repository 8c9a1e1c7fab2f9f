import type { Cell } from '#assignment/Cell.js';

/** Lists the ids of the shards that a server owns; of unowned shards for an empty server id. */
export function listOwnedShards(cell: Cell, serverId: string): readonly string[] {
  return Object.keys(cell.shards).filter((shardId) => cell.shards[shardId]?.owner === serverId);
}
