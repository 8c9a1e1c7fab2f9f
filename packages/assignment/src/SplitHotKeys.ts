import type { Cell } from '#assignment/Cell.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';

/**
 * Gives keys rows of their own. A row starts with the owner and the fences of its hash slot, and a new token. Only the
 * owner of the slot may add rows: existing rows and rows of other owners' slots are skipped.
 */
export function splitHotKeys(cell: Cell, serverId: string, rowIds: readonly string[]): Cell {
  const added = rowIds.flatMap((rowId) => {
    const parent = cell.shards[findParentSlot(rowId) ?? ''];
    if (cell.shards[rowId] !== undefined || parent?.owner !== serverId) return [];
    return [[rowId, { ...parent, token: cell.version + 1 }] as const];
  });
  if (added.length === 0) return cell;
  return { ...cell, shards: { ...cell.shards, ...Object.fromEntries(added) } };
}
