import type { Member } from '#assignment/Member.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Whether operators have taken a member, its VM or its failure domain out of service. */
export function isWithdrawn(member: Member, withdrawn: readonly WithdrawalTarget[]): boolean {
  return withdrawn.some(({ kind, name }) => {
    if (kind === 'server') return name === member.serverId;
    return name === (kind === 'vm' ? member.vm : member.failureDomain);
  });
}
