import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Production timings: a lease outlasts a store outage of 9 s that begins just before a renewal is due. */
export const defaultLeaseTimings: LeaseTimings = Object.freeze({
  leaseMs: 12_500,
  renewEveryMs: 3_000,
  maxGrantMs: 7_000,
  clockDrift: 0.02,
  marginMs: 200,
});
