import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Grants shorter than this are not given: the backend server could not use them. */
const SHORTEST_GRANT_MS = 300;

/**
 * How long a backend server may hold its keys, given what is left of its daemon's lease: it must let go before the
 * lease ends, even if its clock runs slow. 0 if there is no time for a grant.
 */
export function computeGrantMs(leaseLeftMs: number, terms: LeaseTimings): number {
  const usableMs = Math.floor((leaseLeftMs - terms.marginMs) * (1 - terms.clockDrift));
  return usableMs < SHORTEST_GRANT_MS ? 0 : Math.min(terms.maxGrantMs, usableMs);
}
