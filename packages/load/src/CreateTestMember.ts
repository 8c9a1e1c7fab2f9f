import type { MemberFacts } from '#assignment/MemberFacts.js';

/** Returns the facts of member `s<index>` of a test cell, with its own failure domain and two members to a region. */
export function createTestMember(index: number): MemberFacts {
  return {
    serverId: `s${index}`,
    incarnation: `i${index}`,
    region: `r${index >> 1}`,
    failureDomain: `d${index}`,
    vm: `v${index}`,
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 1,
    udpPort: 1,
    adminPort: 1,
    checksToken: true,
    slots: 6,
  };
}
