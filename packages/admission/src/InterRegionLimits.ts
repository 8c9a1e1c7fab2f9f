import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** Bound of the concurrency where only bytes are limited. */
const UNLIMITED = 1_000_000;

/** Limits of an entry's bytes between regions, for `AdmissionPolicy.admit` under a key of their own; one second of burst. */
export function interRegionLimits(limits: EntryLimits): EntryLimits {
  const { interRegionBytesPerSecond } = limits;
  return {
    ...limits,
    ratePerSecond: interRegionBytesPerSecond,
    burst: interRegionBytesPerSecond,
    concurrency: UNLIMITED,
  };
}
