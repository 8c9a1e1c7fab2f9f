import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import { MAX_RATE_DIFFERENCE } from '#ranges/MaxRateDifference.js';

/**
 * Returns the time on a daemon's clock after which a grant of `holdMs` has certainly ended, in milliseconds from the
 * announcement that it answers. The clock of the backend server may run slow, and that of the daemon fast.
 */
export function computeLongestHoldMs(holdMs: number, { clockDrift }: LeaseTimings): number {
  return (holdMs / (1 - clockDrift)) * (1 + MAX_RATE_DIFFERENCE);
}
