import type { Member } from '#assignment/Member.js';

/** Creates an active member whose caller port is on the loopback address. */
export function createMember(serverId: string, callerPort = 1, region = 'r1'): Member {
  return {
    serverId,
    epoch: 1,
    incarnation: serverId,
    state: 'active',
    region,
    failureDomain: 'a',
    vm: serverId,
    host: '127.0.0.1',
    callerPort,
    peerPort: 1,
    udpPort: 1,
    adminPort: 1,
    witnesses: [],
    checksToken: true,
    slots: 4,
  };
}
