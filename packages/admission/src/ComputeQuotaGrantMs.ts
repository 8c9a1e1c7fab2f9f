import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { RateLimits } from '#admission/RateLimits.js';

/** An entry with less burst or concurrency than this counts as small. */
const SMALL_UNITS = 100;

/** Returns the duration of a quota grant for an entry with these limits, in milliseconds. */
export function computeQuotaGrantMs(settings: QuotaSettings, limits: RateLimits): number {
  if (settings.tokens !== undefined) {
    const { minGrantMs, unreportedTokens } = settings.tokens;
    const accrualMs = (unreportedTokens / Math.max(limits.ratePerSecond, 1e-9)) * 1_000;
    return Math.min(settings.grantMs, minGrantMs + accrualMs);
  }
  const isSmall = Math.min(limits.burst, limits.concurrency) < SMALL_UNITS;
  return isSmall ? (settings.smallEntryGrantMs ?? settings.grantMs) : settings.grantMs;
}
