import type { Cell } from '#assignment/Cell.js';
import { dropUnreferenced } from '#assignment/DropUnreferenced.js';
import type { Shard } from '#assignment/Shard.js';

/** Removes satisfied fences from the shards of one owner; fences that no shard references any more are dropped. */
export function clearFences(cell: Cell, serverId: string, fenceIds: readonly number[]): Cell {
  const clear = (shard: Shard): Shard =>
    shard.owner === serverId && shard.fences.some((id) => fenceIds.includes(id))
      ? { ...shard, fences: shard.fences.filter((id) => !fenceIds.includes(id)) }
      : shard;
  const shards = Object.fromEntries(
    Object.entries(cell.shards).map(([shardId, shard]) => [shardId, clear(shard)]),
  );
  return dropUnreferenced({ ...cell, shards });
}
