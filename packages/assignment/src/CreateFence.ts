import type { Cell } from '#assignment/Cell.js';
import type { Fence } from '#assignment/Fence.js';
import type { Member } from '#assignment/Member.js';

/** Fence ids reserved for one cell version; a write fences at most the 64 members of a cell. */
const FENCE_IDS_PER_VERSION = 128;

/**
 * Returns the fence for the current grant of a member. Its id is above every id used at an earlier version, so an owner
 * that remembers a satisfied fence never mistakes another fence for it.
 */
export function createFence(cell: Cell, member: Member, graceMs: number): Fence {
  const first = (cell.version + 1) * FENCE_IDS_PER_VERSION;
  const id = cell.fences.reduce((next, fence) => Math.max(next, fence.id + 1), first);
  return { id, serverId: member.serverId, epoch: member.epoch, witnesses: member.witnesses, graceMs };
}
