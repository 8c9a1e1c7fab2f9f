import type { CallerLimits } from '#routes/CallerLimits.js';
import type { Route } from '#routes/Route.js';
import type { ServiceConfig } from '#routes/ServiceConfig.js';

/** One version of the configuration. Versions only increase. */
export interface RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceConfig>;
}
