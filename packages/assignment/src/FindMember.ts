import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';

/** Finds a member by its server id. */
export function findMember(cell: Cell, serverId: string): Member | undefined {
  return cell.members.find((member) => member.serverId === serverId);
}
