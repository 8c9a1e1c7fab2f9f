import type { Owner } from '#ranges/Owner.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { View } from '#mesh/View.js';

/** Backend servers of a service that can take keys: ready, in a failure domain that is in, with a lease. */
export function listReceivers(view: View, service: string): readonly Owner[] {
  return [...view.servers.values()]
    .filter((entry) => takesKeys(entry, view, service))
    .map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation }))
    .toSorted((left, right) => (left.serverId < right.serverId ? -1 : 1));
}

function takesKeys(entry: ServerEntry, view: View, service: string): boolean {
  const { state, term, failureDomain } = entry;
  return entry.service === service && state === 'ready' && term > 0 && !view.evacuated.has(failureDomain);
}
