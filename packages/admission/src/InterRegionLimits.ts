import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** Concurrency that is never reached, for limits that apply to bytes only. */
const UNLIMITED_CONCURRENCY = 1_000_000;

/**
 * Returns limits in bytes between regions for `AdmissionPolicy.admit`, under a separate key, with one second of burst.
 */
export function interRegionLimits(limits: EntryLimits): EntryLimits {
  const { interRegionBytesPerSecond } = limits;
  return {
    ...limits,
    ratePerSecond: interRegionBytesPerSecond,
    burst: interRegionBytesPerSecond,
    concurrency: UNLIMITED_CONCURRENCY,
  };
}
