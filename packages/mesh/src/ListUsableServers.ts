import type { MeshView } from '#mesh/MeshView.js';

/** Lists the ids of the backend servers that may get new requests: ready, and not in an evacuated failure domain. */
export function listUsableServers({ servers, evacuated }: MeshView): ReadonlySet<string> {
  const usable = [...servers.values()].filter(
    ({ state, failureDomain }) => state === 'ready' && !evacuated.has(failureDomain),
  );
  return new Set(usable.map(({ serverId }) => serverId));
}
