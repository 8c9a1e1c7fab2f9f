import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import type { HotKeyPlan } from '#assignment/HotKeyPlan.js';
import { LoadTally } from '#assignment/LoadTally.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Fraction of a member's fair load from which a key gets its own row; bounds the load that one move shifts. */
const HOT_FRACTION = 0.05;
/** Fraction of a member's fair load below which a row is cold; far enough below `HOT_FRACTION` to avoid flapping. */
const COLD_FRACTION = 0.0125;
/** Maximum of rows in a cell; at about 100 B of JSON each they stay below 30 KB. */
const MAX_ROWS = 256;

/**
 * Plans which keys get rows of their own and which rows are removed. `keyLoads` holds requests per second by row id,
 * for keys with and without a row; an absent key counts as idle. The splits lead to at most 256 rows.
 */
export function planHotKeys(
  cell: Cell,
  keyLoads: ReadonlyMap<string, number>,
  loads: CellLoads,
  withdrawn: readonly WithdrawalTarget[] = [],
): HotKeyPlan {
  const rows = Object.keys(cell.shards).filter((shardId) => findParentSlot(shardId) !== undefined);
  const fairLoad = findFairLoad(cell, loads, withdrawn);
  if (fairLoad <= 0) return { splits: [], merges: [], moves: [] };
  const isCold = (row: string): boolean =>
    Math.max(keyLoads.get(row) ?? 0, loads.shards.get(row) ?? 0) < COLD_FRACTION * fairLoad;
  const cold = rows.filter(isCold);
  const merges = cold.filter((row) => ownerOf(cell, row) === ownerOf(cell, findParentSlot(row)));
  const targets = new LoadTally(cell, loads, withdrawn).targets.map((member) => member.serverId);
  const moves = cold
    .filter((row) => !merges.includes(row))
    .map((row) => ({
      shardId: row,
      from: ownerOf(cell, row),
      to: ownerOf(cell, findParentSlot(row)),
      reason: 'home' as const,
    }))
    .filter((move) => move.from !== '' && targets.includes(move.to));
  const splits = [...keyLoads]
    .filter(([row, load]) => cell.shards[row] === undefined && load >= HOT_FRACTION * fairLoad)
    .filter(([row]) => ownerOf(cell, findParentSlot(row)) !== '')
    .sort((left, right) => right[1] - left[1])
    .slice(0, Math.max(0, MAX_ROWS - rows.length))
    .map(([row]) => row);
  return { splits, merges, moves };
}

function findFairLoad(cell: Cell, loads: CellLoads, withdrawn: readonly WithdrawalTarget[]): number {
  const total = Object.keys(cell.shards).reduce((sum, shardId) => sum + (loads.shards.get(shardId) ?? 0), 0);
  return total / Math.max(1, new LoadTally(cell, loads, withdrawn).targets.length);
}

function ownerOf(cell: Cell, shardId: string | undefined): string {
  return (shardId === undefined ? undefined : cell.shards[shardId]?.owner) ?? '';
}
