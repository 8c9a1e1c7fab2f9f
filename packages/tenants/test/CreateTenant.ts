import type { Tenant } from '#routes/Tenant.js';

/** Creates a tenant with a rate limit and without home regions. */
export function createTenant(name: string, ratePerSecond: number, burst: number): Tenant {
  return { name, priority: undefined, ratePerSecond, burst, homeRegions: [] };
}
