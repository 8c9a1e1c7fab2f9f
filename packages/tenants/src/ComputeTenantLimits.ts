import type { EntryLimits } from '#catalogue/EntryLimits.js';
import type { Tenant } from '#routes/Tenant.js';

/**
 * Rate to divide, relative to the tenant's rate. Without the reserved part, it still has to be above the tenant's rate:
 * 1.035 x 0.97 > 1.
 */
const RATE_FACTOR = 1.035;

/**
 * In any 5 s, (rate x 5 + burst) x 1.1 + 20 requests may run. The rate factor takes 5.175 of the 5.5 x rate. Most
 * of the rest is used as burst, which allows daemons to hold tokens for a fraction of a second.
 */
const BURST_PER_RATE = 0.3;
const BURST_FACTOR = 1.1;
const SPARE_BURST = 14;

/** Returns the limits that the daemons divide among themselves, so that the bound of a tenant's requests holds. */
export function computeTenantLimits({ ratePerSecond, burst }: Tenant): EntryLimits {
  return {
    ratePerSecond: ratePerSecond * RATE_FACTOR,
    burst: burst * BURST_FACTOR + ratePerSecond * BURST_PER_RATE + SPARE_BURST,
    // Not limited; the value allows for a share of each daemon.
    concurrency: 1_000_000,
    share: 1,
    priority: 0,
    defaultDeadlineMs: 0,
    maxDeadlineMs: 0,
    maxBodyBytes: 0,
    interRegionBytesPerSecond: 0,
  };
}
