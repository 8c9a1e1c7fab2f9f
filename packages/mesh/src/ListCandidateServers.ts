import type { Route } from '#routes/Route.js';
import { mayGetNewRequests } from '#mesh/MayGetNewRequests.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Lists the backend servers that may run a request without a key now. */
export function listCandidateServers(
  view: MeshView,
  route: Route,
  service: string,
  isUsable: (server: ServerEntry) => boolean,
): readonly ServerEntry[] {
  return [...view.servers.values()].filter(
    (server) =>
      server.service === service &&
      mayGetNewRequests(view, server) &&
      isInHomeRegion(route, server.region) &&
      isUsable(server),
  );
}

function isInHomeRegion({ homeRegions }: Route, region: string): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}
