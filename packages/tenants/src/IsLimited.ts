import type { Tenant } from '#routes/Tenant.js';

/** Whether the requests of a tenant are counted against a rate limit. */
export function isLimited(tenant: Tenant | undefined): tenant is Tenant {
  return tenant !== undefined && tenant.ratePerSecond > 0;
}
