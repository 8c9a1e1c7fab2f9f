import type { LeaseConfig } from '#lease/LeaseConfig.js';

/**
 * Durations in abstract steps. All clocks of the model run at one rate, so the tightest case is a witness expiry W
 * that equals the lease L. The maximum age P of a promise and the silent period Q of a witness keep the
 * order W < P < Q. The short ones allow more faults in the same number of states.
 */
export const leaseConfigs = {
  long: createLeaseConfig(2, 3, 4),
  short: createLeaseConfig(1, 2, 3),
} as const;

function createLeaseConfig(leaseMs: number, promiseMaxAgeMs: number, silentMs: number): LeaseConfig {
  return { leaseMs, renewEveryMs: 1, clockDrift: 0, witnessExpiryMs: leaseMs, promiseMaxAgeMs, silentMs };
}
