import type { Cell } from '#assignment/Cell.js';

/** Lists the ids of the shards that a server owns; an empty server id stands for unowned shards. */
export function listOwnedShards(cell: Cell, serverId: string): readonly string[] {
  return Object.keys(cell.shards).filter((shardId) => cell.shards[shardId]?.owner === serverId);
}
