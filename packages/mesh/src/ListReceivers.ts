import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/**
 * Lists the backend servers of a service that can take keys: ready, with a lease, and not in an evacuated
 * failure domain.
 */
export function listReceivers(view: MeshView, service: string): readonly RangeOwner[] {
  return [...view.servers.values()]
    .filter((entry) => takesKeys(entry, view, service))
    .map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation }))
    .toSorted((left, right) => (left.serverId < right.serverId ? -1 : 1));
}

function takesKeys(entry: ServerEntry, view: MeshView, service: string): boolean {
  const { state, term, failureDomain } = entry;
  return entry.service === service && state === 'ready' && term > 0 && !view.evacuated.has(failureDomain);
}
