import type { Route } from '#routes/Route.js';
import type { RouteFinding } from '#routes/RouteFinding.js';
import type { RouteTable } from '#routes/RouteTable.js';
import type { Tenant } from '#routes/Tenant.js';

type Report = readonly RouteFinding[];

/**
 * Finds entries that can never match and limits that contradict each other. `regions` are the regions that exist; with none
 * given, names of regions are not checked.
 */
export function checkRouteTable(table: RouteTable, regions: readonly string[] = []): Report {
  return [
    ...findShadowed(table.routes),
    ...table.routes.flatMap((route) => checkRoute(route, table, regions)),
    ...[...table.tenants.values()].flatMap((tenant) => checkTenant(tenant, table, regions)),
    ...checkServices(table),
    ...checkLimits(table),
  ];
}

function route(severity: RouteFinding['severity'], { name }: Route, message: string): RouteFinding {
  return { severity, subject: { kind: 'route', name }, message };
}

function tenant(severity: RouteFinding['severity'], { name }: Tenant, message: string): RouteFinding {
  return { severity, subject: { kind: 'tenant', name }, message };
}

/** Finds routes that a later one with the same host and prefix replaces. */
function findShadowed(routes: readonly Route[]): Report {
  const last = new Map(routes.map((each) => [`${each.host.toLowerCase()} ${each.pathPrefix}`, each]));
  return routes.flatMap((each) => {
    const winner = last.get(`${each.host.toLowerCase()} ${each.pathPrefix}`);
    if (winner === undefined || winner === each) return [];
    return [route('error', each, `never matches: route ${winner.name} has the same host and path prefix`)];
  });
}

function checkRoute(each: Route, table: RouteTable, regions: readonly string[]): Report {
  return [
    ...checkMatch(each),
    ...checkTargets(each, table),
    ...checkRouteLimits(each),
    ...each.homeRegions
      .filter((region) => regions.length > 0 && !regions.includes(region))
      .map((region) => route('error', each, `region ${region} does not exist`)),
    ...(table.tenants.size > 0 && !each.isPublic && !hasUser(each, table)
      ? [route('warning', each, 'no tenant may use it: the regions of route and tenants have none in common')]
      : []),
  ];
}

function checkMatch(each: Route): Report {
  const { host, pathPrefix } = each;
  const isDelimited = pathPrefix.startsWith('/') && pathPrefix.endsWith('/');
  return [
    ...(host === '' || host.includes(':')
      ? [route('error', each, 'never matches: a host is compared without its port')]
      : []),
    ...(isDelimited
      ? []
      : [route('error', each, 'never matches: a path prefix begins and ends with a slash')]),
    ...(pathPrefix.includes('?') ? [route('error', each, 'never matches: a path has no query')] : []),
  ];
}

function checkTargets(each: Route, table: RouteTable): Report {
  const { targets } = each;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  return [
    ...(total > 0 ? [] : [route('error', each, 'sends requests nowhere: no target has a weight')]),
    ...targets
      .filter(({ service }) => !table.services.has(service))
      .map(({ service }) => route('error', each, `service ${service} is not configured`)),
    ...targets
      .filter(({ weight }) => total > 0 && weight === 0)
      .map(({ service }) => route('warning', each, `service ${service} gets no requests: its weight is 0`)),
  ];
}

function checkRouteLimits(each: Route): Report {
  const { targetLatencyMs, timeoutMs, maxAttempts, idempotent } = each;
  return [
    ...(targetLatencyMs > timeoutMs
      ? [
          route(
            'warning',
            each,
            `target latency ${targetLatencyMs} ms is above the timeout of ${timeoutMs} ms`,
          ),
        ]
      : []),
    ...(timeoutMs > 0 ? [] : [route('error', each, 'no request can end: the timeout is 0')]),
    ...(maxAttempts > 0 ? [] : [route('error', each, 'no request is sent: the attempts are 0')]),
    ...(maxAttempts > 1 && !idempotent
      ? [route('warning', each, 'attempts above 1 only count refusals: its requests may run once')]
      : []),
  ];
}

function hasUser(each: Route, { tenants }: RouteTable): boolean {
  return [...tenants.values()].some(
    ({ homeRegions }) =>
      homeRegions.length === 0 ||
      each.homeRegions.length === 0 ||
      homeRegions.some((region) => each.homeRegions.includes(region)),
  );
}

function checkTenant(each: Tenant, table: RouteTable, regions: readonly string[]): Report {
  const hasKey = [...table.tenantByKey.values()].includes(each.name);
  return [
    ...(hasKey ? [] : [tenant('warning', each, 'never matches: it has no key of its own')]),
    ...(each.ratePerSecond === 0 && each.burst > 0
      ? [tenant('warning', each, 'burst has no effect: a rate of 0 is no limit')]
      : []),
    ...(each.ratePerSecond > 0 && each.burst < 1
      ? [tenant('warning', each, 'requests that arrive at once are refused: the burst is below 1')]
      : []),
    ...each.homeRegions
      .filter((region) => regions.length > 0 && !regions.includes(region))
      .map((region) => tenant('error', each, `region ${region} does not exist`)),
  ];
}

function checkServices({ routes, services }: RouteTable): Report {
  const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
  return [...services.values()].flatMap(({ name, maxConnections }): Report => [
    ...(used.has(name)
      ? []
      : [
          {
            severity: 'warning',
            subject: { kind: 'service', name },
            message: 'no route leads to it',
          } as const,
        ]),
    ...(maxConnections > 0
      ? []
      : [
          {
            severity: 'error',
            subject: { kind: 'service', name },
            message: 'no request can reach it: the connections are 0',
          } as const,
        ]),
  ]);
}

function checkLimits({ limits, tenants, routes }: RouteTable): Report {
  const subject = { kind: 'limits' } as const;
  return [
    ...(limits.headerTimeoutMs > limits.idleTimeoutMs
      ? [
          {
            severity: 'warning',
            subject,
            message: 'a head may take longer than a connection may be idle',
          } as const,
        ]
      : []),
    ...(tenants.size > 0 && routes.every(({ isPublic }) => isPublic)
      ? [
          {
            severity: 'warning',
            subject: { kind: 'configuration' },
            message: 'no key is ever needed: all routes are public',
          } as const,
        ]
      : []),
  ];
}
