import type { Cell } from '#assignment/Cell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { OwnedShard } from '#control/OwnedShard.js';

/** Lists the shards that a server may use: those whose fences are satisfied and that are not being moved away. */
export function listUsableShards(
  cell: Cell,
  serverId: string,
  satisfied: ReadonlySet<number>,
  withheld: ReadonlySet<string>,
): ReadonlyMap<string, OwnedShard> {
  const usable = listOwnedShards(cell, serverId).flatMap((shardId) => {
    const shard = cell.shards[shardId];
    if (shard === undefined || withheld.has(shardId)) return [];
    if (!shard.fences.every((id) => satisfied.has(id))) return [];
    return [[shardId, { shardId, token: shard.token }] as const];
  });
  return new Map(usable);
}
