import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { RateLimits } from '#admission/RateLimits.js';

/** Units of burst or concurrency below which an entry counts as small. */
const SMALL_UNITS = 100;

/** Returns the time for which a slice of an entry may be used, in milliseconds. */
export function computeQuotaGrantMs(settings: QuotaSettings, limits: RateLimits): number {
  const isSmall = Math.min(limits.burst, limits.concurrency) < SMALL_UNITS;
  return isSmall ? (settings.smallSliceMs ?? settings.sliceMs) : settings.sliceMs;
}
