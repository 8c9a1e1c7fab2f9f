import type { AssignOptions } from '#assignment/AssignOptions.js';
import { assignShards } from '#assignment/AssignShards.js';
import type { Cell } from '#assignment/Cell.js';
import type { Shard } from '#assignment/Shard.js';
import { slotCount } from '#assignment/SlotCount.js';

/** Adds the shards of missing placements, with owners if members exist. Returns the same cell if none is missing. */
export function ensurePlacements(
  cell: Cell,
  placements: readonly string[],
  options: AssignOptions = {},
): Cell {
  const missing = [...new Set(placements)].filter((placement) => cell.shards[`${placement}/0`] === undefined);
  if (missing.length === 0) return cell;
  const shardIds = missing.flatMap((placement) =>
    Array.from({ length: slotCount }, (_, slot) => `${placement}/${slot}`),
  );
  const unowned: Shard = { owner: '', token: cell.version + 1, fences: [] };
  const added = Object.fromEntries(shardIds.map((shardId) => [shardId, unowned]));
  return assignShards({ ...cell, shards: { ...cell.shards, ...added } }, shardIds, options);
}
