import type { CallerLimits } from '#routes/CallerLimits.js';
import type { Route } from '#routes/Route.js';
import type { ServiceConfig } from '#routes/ServiceConfig.js';
import type { Tenant } from '#routes/Tenant.js';

/** One version of the configuration. Versions only increase. */
export interface RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceConfig>;
  /** Tenants by name; without any, requests need no key. */
  readonly tenants: ReadonlyMap<string, Tenant>;
  /** Names of tenants by API key. */
  readonly tenantByKey: ReadonlyMap<string, string>;
}
