import type { Route } from '#routes/Route.js';
import type { Tenant } from '#routes/Tenant.js';
import type { CallerRefusal } from '#mesh/CallerRefusal.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** Result of `TenantGate`: the request and the route as they apply to the tenant, or a refusal. */
export type TenantAccess =
  | {
      readonly type: 'passed';
      readonly request: CallerRequest;
      readonly route: Route;
      /** Undefined if the request belongs to no tenant. */
      readonly tenant: Tenant | undefined;
    }
  | { readonly type: 'refused'; readonly reply: CallerRefusal };
