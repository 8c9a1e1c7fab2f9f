import type { Cell } from '#assignment/Cell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { CellChangeCounts } from '#daemon/CellChangeCounts.js';

/** Counts ownership changes of a member between two versions of a cell, without shards lost to a takeover. */
export function compareCells(before: Cell | undefined, after: Cell, serverId: string): CellChangeCounts {
  if (before === undefined) return { takeovers: 0, plannedMoves: 0, hotKeyMoves: 0 };
  const handedOver = listOwnedShards(before, serverId).filter((shardId) => {
    const shard = after.shards[shardId];
    return shard !== undefined && shard.owner !== serverId && shard.fences.length === 0;
  });
  const received = listOwnedShards(after, serverId).filter(
    (shardId) => before.shards[shardId]?.owner !== serverId,
  );
  return {
    takeovers: received.filter((shardId) => (after.shards[shardId]?.fences.length ?? 0) > 0).length,
    plannedMoves: handedOver.length,
    hotKeyMoves: handedOver.filter((shardId) => shardId.includes('/key:')).length,
  };
}
