import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Fraction by which the rates of two VMs' clocks may differ. */
const MAX_RATE_DIFFERENCE = 0.02;

/** Returns the time on the clock of one VM after which a lease that began on another has certainly ended, in milliseconds. */
export function computeLongestLeaseMs({ leaseMs, marginMs }: LeaseTimings): number {
  return (leaseMs + marginMs) * (1 + MAX_RATE_DIFFERENCE);
}
