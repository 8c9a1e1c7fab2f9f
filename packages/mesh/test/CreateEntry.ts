import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Creates the store's entry of a backend server `a` to `z` with default values. */
export function createEntry(serverId: string, change: Partial<ServerEntry> = {}): ServerEntry {
  return {
    serverId,
    address: `10.0.0.${serverId.charCodeAt(0)}:1`,
    failureDomain: 'd',
    region: 'r',
    service: 's',
    instanceId: serverId,
    incarnation: `${serverId}/1`,
    state: 'ready',
    slots: 4,
    term: 1,
    processId: `p-${serverId}`,
    ...change,
  };
}
