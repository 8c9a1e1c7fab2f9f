import type { Cell } from '#assignment/Cell.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';

/**
 * Removes rows whose owner also owns their hash slot. The slot takes over their fences and gets a new token, because
 * the tokens that the requests of a key carry must not decrease. Rows that `serverId` may not merge are left unchanged.
 */
export function mergeHotKeys(cell: Cell, serverId: string, rowIds: readonly string[]): Cell {
  return rowIds.reduce((state, rowId) => mergeRow(state, serverId, rowId), cell);
}

function mergeRow(cell: Cell, serverId: string, rowId: string): Cell {
  const slotId = findParentSlot(rowId) ?? '';
  const row = cell.shards[rowId];
  const slot = cell.shards[slotId];
  if (row?.owner !== serverId || slot?.owner !== serverId) return cell;
  const fences = [...new Set([...slot.fences, ...row.fences])];
  const others = Object.entries(cell.shards).filter(([shardId]) => shardId !== rowId);
  const merged = { owner: serverId, token: cell.version + 1, fences };
  return { ...cell, shards: { ...Object.fromEntries(others), [slotId]: merged } };
}
