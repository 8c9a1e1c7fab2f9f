import type { Member } from '#assignment/Member.js';

/** Lists the members except one server and those that are gone. */
export function listOtherMembers(members: Iterable<Member>, serverId: string): readonly Member[] {
  return [...members].filter((member) => member.serverId !== serverId && member.state !== 'gone');
}
