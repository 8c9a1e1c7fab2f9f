import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';

/** Drops fences that no shard references, and gone members that no fence and no live member references. */
export function dropUnreferenced(cell: Cell): Cell {
  const named = new Set(Object.values(cell.shards).flatMap((shard) => shard.fences));
  const fences = cell.fences.filter((fence) => named.has(fence.id));
  const live = cell.members.filter((member) => member.state !== 'gone');
  const needed = new Set([
    ...fences.flatMap((fence) => [fence.serverId, ...fence.witnesses]),
    // A witness that is gone may return and be needed for a promise, so its address is kept until it is replaced.
    ...live.flatMap((member) => member.witnesses),
  ]);
  const isKept = (member: Member): boolean => member.state !== 'gone' || needed.has(member.serverId);
  return { ...cell, fences, members: cell.members.filter(isKept) };
}
