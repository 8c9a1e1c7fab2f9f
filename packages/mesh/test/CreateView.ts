import type { RangeTable } from '#ranges/RangeTable.js';
import type { Route } from '#routes/Route.js';
import { RouteIndex } from '#routes/RouteIndex.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

const ROUTE: Route = {
  name: 'route',
  host: 'a.example',
  pathPrefix: '/',
  idempotent: true,
  targets: [{ service: 's', weight: 1 }],
  timeoutMs: 1_000,
  targetLatencyMs: 300,
  maxAttempts: 2,
  priority: 0,
  homeRegions: [],
  isPublic: false,
};

/** Creates a complete view with one route to the service `s`, which is keyed if there is a table. */
export function createView(
  servers: readonly ServerEntry[],
  route: Partial<Route> = {},
  table?: RangeTable,
  keyed = table !== undefined,
): MeshView {
  return {
    routes: new RouteIndex({
      version: 1,
      limits: { maxHeaderBytes: 1_000, maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
      routes: [{ ...ROUTE, ...route }],
      services: new Map([['s', { name: 's', maxConnections: 50, coldPerSecond: 5, keyed }]]),
      tenants: new Map(),
      tenantByKey: new Map(),
    }),
    evacuated: new Set(),
    servers: new Map(servers.map((entry) => [entry.serverId, entry])),
    tables: new Map(table === undefined ? [] : [['s', { table, revision: 1 }]]),
    revisions: [],
    complete: true,
  };
}
