import type { Route } from '#routes/Route.js';
import type { Tenant } from '#routes/Tenant.js';

/**
 * Applies the priority and the home regions of a tenant to a route. Returns undefined if the two have home regions but
 * none in common, so that no server may run the request.
 */
export function bindRoute(route: Route, tenant: Tenant): Route | undefined {
  const homeRegions = intersect(route.homeRegions, tenant.homeRegions);
  if (homeRegions === undefined) return undefined;
  return { ...route, priority: tenant.priority ?? route.priority, homeRegions };
}

/** An empty list stands for any region, so that an empty intersection needs a value of its own. */
function intersect(left: readonly string[], right: readonly string[]): readonly string[] | undefined {
  if (left.length === 0) return right;
  if (right.length === 0) return left;
  const common = left.filter((region) => right.includes(region));
  return common.length === 0 ? undefined : common;
}
