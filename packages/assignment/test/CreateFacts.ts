import type { MemberFacts } from '#assignment/MemberFacts.js';

/** Facts of server `s<region><failure domain><n>`, for example `s1a0`. */
export function createFacts(serverId: string): MemberFacts {
  return {
    serverId,
    incarnation: `i-${serverId}`,
    region: `r${serverId.charAt(1)}`,
    failureDomain: `d${serverId.slice(1, 3)}`,
    vm: `vm-${serverId}`,
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    udpPort: 3,
    adminPort: 4,
    checksToken: true,
    slots: 6,
  };
}
