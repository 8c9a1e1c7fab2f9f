import type { Cell } from '#assignment/Cell.js';
import { listMembers } from '#assignment/ListMembers.js';

/**
 * Whether a cell has `memberCount` active members, and an owner for every shard of `placements`. A new cell has
 * members first and its shards later.
 */
export function isCellServing(cell: Cell, placements: readonly string[], memberCount: number): boolean {
  const isPlaced = placements.every((placement) => cell.shards[`${placement}/0`] !== undefined);
  const isOwned = Object.values(cell.shards).every(({ owner }) => owner !== '');
  return isPlaced && isOwned && listMembers(cell, 'active').length >= memberCount;
}
