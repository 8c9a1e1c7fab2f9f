import type { Member } from '#assignment/Member.js';

/** A daemon that may serve as a witness; it need not belong to the cell. */
export type WitnessCandidate = Pick<Member, 'serverId' | 'region' | 'failureDomain' | 'vm' | 'state'>;
