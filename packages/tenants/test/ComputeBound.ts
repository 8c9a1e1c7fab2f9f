import type { Tenant } from '#routes/Tenant.js';

/** Number of requests of a tenant that may run in any 5 s, over all daemons. */
export function computeBound({ ratePerSecond, burst }: Tenant): number {
  return (ratePerSecond * 5 + burst) * 1.1 + 20;
}
