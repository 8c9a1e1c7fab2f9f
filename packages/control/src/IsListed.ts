import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import type { CellHome } from '#control/CellHome.js';

/** Whether a cell lists this process, not an earlier one of its server, as a member that was not taken over. */
export function isListed(cell: Cell | undefined, home: CellHome | undefined): boolean {
  if (cell === undefined || home === undefined) return false;
  const member = findMember(cell, home.facts.serverId);
  return member?.incarnation === home.facts.incarnation && member.state !== 'gone';
}
