import { mayGetNewRequests } from '#mesh/MayGetNewRequests.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Lists the ids of the backend servers that may get new requests. */
export function listUsableServers(view: MeshView): ReadonlySet<string> {
  const usable = [...view.servers.values()].filter((server) => mayGetNewRequests(view, server));
  return new Set(usable.map(({ serverId }) => serverId));
}
