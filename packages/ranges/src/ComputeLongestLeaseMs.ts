import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import { MAX_RATE_DIFFERENCE } from '#ranges/MaxRateDifference.js';

/** Returns the time on the clock of one VM after which a lease that began on another has certainly ended, in milliseconds. */
export function computeLongestLeaseMs({ leaseMs, marginMs }: LeaseTimings): number {
  return (leaseMs + marginMs) * (1 + MAX_RATE_DIFFERENCE);
}
