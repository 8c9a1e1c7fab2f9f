import type { QuotaSettings } from '#admission/QuotaSettings.js';

/** Constants of the division of tenants' rate limits; they must be equal in the whole fleet. */
export const tenantQuotaSettings: QuotaSettings & { readonly tokens: object } = Object.freeze({
  grantMs: 1_000,
  tokens: {
    // Covers a round trip between regions several times.
    minGrantMs: 250,
    burstFraction: 0.8,
    // Part of the 20 requests by which a limit may be exceeded; two changes of the holder in 5 s stay within them.
    initialTokens: 3,
  },
  reservedFraction: 0.05,
  clockDrift: 0.01,
});
