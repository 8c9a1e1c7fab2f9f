import type { LeaseConfig } from '#lease/LeaseConfig.js';

/**
 * Durations in abstract steps. Clocks of the model run at one rate, so that W = L is the tightest case; P and Q keep the
 * order W < P < Q. The short ones allow more faults in the same number of states.
 */
export const leaseConfigs = {
  long: step(2, 3, 4),
  short: step(1, 2, 3),
} as const;

function step(leaseMs: number, promiseMaxAgeMs: number, silentMs: number): LeaseConfig {
  return { leaseMs, renewEveryMs: 1, clockDrift: 0, witnessExpiryMs: leaseMs, promiseMaxAgeMs, silentMs };
}
