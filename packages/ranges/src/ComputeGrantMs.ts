import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Shorter grants are not given, as the backend server could not use them. */
const MIN_GRANT_MS = 300;

/**
 * Computes how long a backend server may hold its keys under its daemon's lease, at most `longestMs`. The grant has to
 * expire before the lease does, even if the backend server's clock runs slow. Returns 0 if too little time is left.
 */
export function computeGrantMs(leaseLeftMs: number, longestMs: number, timings: LeaseTimings): number {
  const usableMs = Math.floor((leaseLeftMs - timings.marginMs) * (1 - timings.clockDrift));
  return usableMs < MIN_GRANT_MS ? 0 : Math.min(longestMs, usableMs);
}
