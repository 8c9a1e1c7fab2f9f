import { findRow } from '#ranges/FindRow.js';
import type { Route } from '#routes/Route.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/**
 * Finds the backend server that owns a key; undefined if none does, or if it is outside the route's home
 * regions.
 */
export function findRangeOwner(
  view: MeshView,
  route: Route,
  service: string,
  key: number,
): ServerEntry | undefined {
  const table = view.tables.get(service);
  const row = table === undefined ? undefined : findRow(table.table.rows, key);
  const server = row === undefined ? undefined : view.servers.get(row.serverId);
  if (server === undefined) return undefined;
  const { homeRegions } = route;
  return homeRegions.length === 0 || homeRegions.includes(server.region) ? server : undefined;
}
