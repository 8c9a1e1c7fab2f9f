import type { Cell } from '#assignment/Cell.js';

/** Marks members as draining, or as active again; members that are gone don't change. */
export function setMemberState(cell: Cell, serverIds: readonly string[], state: 'active' | 'draining'): Cell {
  const isChanged = cell.members.some(
    (member) => serverIds.includes(member.serverId) && member.state !== 'gone' && member.state !== state,
  );
  if (!isChanged) return cell;
  const members = cell.members.map((member) =>
    serverIds.includes(member.serverId) && member.state !== 'gone' ? { ...member, state } : member,
  );
  return { ...cell, members };
}
