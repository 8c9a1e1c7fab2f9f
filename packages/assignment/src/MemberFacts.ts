import type { Member } from '#assignment/Member.js';

/** What a daemon states about itself when it joins a cell. */
export type MemberFacts = Omit<Member, 'epoch' | 'state' | 'witnesses'>;
