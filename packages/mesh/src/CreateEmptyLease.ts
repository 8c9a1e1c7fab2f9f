import type { LeaseRecord } from '#mesh/LeaseRecord.js';

/** Creates the record of a daemon whose stored one is missing or cannot be decoded, with term 0. */
export function createEmptyLease(serverId: string, service: string): LeaseRecord {
  return {
    serverId,
    service,
    processId: '',
    term: 0,
    revoked: false,
    renewal: 0,
    incarnation: '',
    workMsPerSecond: 0,
    slots: 1,
    accepts: false,
  };
}
