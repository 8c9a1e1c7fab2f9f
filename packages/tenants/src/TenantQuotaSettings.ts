import type { QuotaSettings } from '#admission/QuotaSettings.js';

/** Constants of the division of tenants' rate limits; they must be equal in the whole fleet. */
export const tenantQuotaSettings: QuotaSettings & { readonly tokens: object } = Object.freeze({
  grantMs: 1_000,
  tokens: {
    // Covers a round trip between regions several times. At the rate of the tenant, the tokens granted in this time
    // and the unreported ones are fewer than those that `computeTenantLimits` adds to the burst of the tenant.
    minGrantMs: 220,
    unreportedTokens: 6,
    // Part of the 20 requests by which a limit may be exceeded; two changes of the holder in 5 s stay within them.
    initialTokens: 3,
  },
  reservedFraction: 0.03,
  clockDrift: 0.01,
});
