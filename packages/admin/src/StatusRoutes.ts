import { type EitherAsync, Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import { findEntry } from '#catalogue/FindEntry.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { formatPrometheus } from '#metrics/FormatPrometheus.js';
import { summarizeSeries } from '#metrics/SummarizeSeries.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { handleAsync } from '#admin/HandleAsync.js';
import type { MetricsScope } from '#admin/MetricsScope.js';
import { readExplainQuery } from '#admin/ReadExplainQuery.js';
import { readPageRequest } from '#admin/ReadPageRequest.js';

const SCOPES: readonly string[] = ['daemon', 'cells', 'fleet'] satisfies readonly MetricsScope[];

/** Operations that return state and metrics, or explain a request. */
export const statusRoutes: readonly AdminRoute[] = [
  {
    method: 'GET',
    path: '/admin/v1/status',
    operation: 'getStatus',
    access: 'owner',
    query: [],
    handle: readStatus,
  },
  {
    method: 'GET',
    path: '/admin/v1/stats',
    operation: 'getStats',
    access: 'owner',
    query: ['scope'],
    handle: readStats,
  },
  {
    method: 'GET',
    path: '/metrics',
    operation: 'getMetrics',
    access: 'operator',
    query: [],
    handle: readPrometheusMetrics,
  },
  {
    method: 'POST',
    path: '/admin/v1/explain',
    operation: 'explain',
    access: 'owner',
    query: ['limit', 'after'],
    handle: explain,
  },
];

type Handled = EitherAsync<RouterError, AdminReply>;

function readStatus(backend: AdminBackend): Handled {
  return handleAsync(async () => ({
    status: 200,
    body: await backend.readStatus(),
  }));
}

// Competing teams share the fleet, so an owner sees only its own series.
function readStats(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const scope = await unwrap(readScope(call));
    const { series, counters, gauges } = await backend.readMetrics(scope);
    const { operator, name } = call.author;
    const visible = series.filter((each) => operator || each.team === name);
    return { status: 200, body: { scope, series: visible.map(summarizeSeries), counters, gauges } };
  });
}

function readScope({ query }: AdminCall): Either<AdminError, MetricsScope> {
  const { scope = 'daemon' } = query;
  if (isScope(scope)) return Right(scope);
  return Left(new AdminError(400, 'badScope', `"scope" must be one of ${SCOPES.join(', ')}`));
}

function isScope(text: string): text is MetricsScope {
  return SCOPES.includes(text);
}

function readPrometheusMetrics(backend: AdminBackend): Handled {
  return handleAsync(async () => {
    const snapshot = await backend.readMetrics('daemon');
    return { status: 200, body: formatPrometheus(snapshot) };
  });
}

function explain(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const query = await unwrap(readExplainQuery(call));
    const page = await unwrap(readPageRequest(call.query));
    const inForce = await backend.readCatalogueInForce();
    if (inForce === undefined)
      return unwrap(Left(new AdminError(404, 'noCatalogue', 'no catalogue is in force')));
    const { team, service, class: className } = query;
    const entry = findEntry(indexCatalogue(inForce), team, service, className) ?? null;
    const daemons = await backend.explain(query, page);
    return { status: 200, body: { catalogueVersion: inForce.version, entry, daemons } };
  });
}
