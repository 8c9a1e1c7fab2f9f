import type { Route } from '#routes/Route.js';
import type { RouteTable } from '#routes/RouteTable.js';
import type { Authorization } from '#tenants/Authorization.js';

/**
 * Decides to which tenant a request belongs, and whether it needs an API key that it does not have. `credential` is the
 * API key of the request.
 */
export function authorize(
  { credential }: { readonly credential: string | undefined },
  { isPublic }: Pick<Route, 'isPublic'>,
  { tenants, tenantByKey }: Pick<RouteTable, 'tenants' | 'tenantByKey'>,
): Authorization {
  if (tenants.size === 0) return { type: 'authorized', tenant: undefined };
  const name = credential === undefined ? undefined : tenantByKey.get(credential);
  const tenant = name === undefined ? undefined : tenants.get(name);
  if (tenant === undefined && !isPublic) return { type: 'unauthorized' };
  return { type: 'authorized', tenant };
}
