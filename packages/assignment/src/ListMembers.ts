import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import type { MemberState } from '#assignment/MemberState.js';

/** Lists the members in one state. */
export function listMembers(cell: Cell, state: MemberState): readonly Member[] {
  return cell.members.filter((member) => member.state === state);
}
