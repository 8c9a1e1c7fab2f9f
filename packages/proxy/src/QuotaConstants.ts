import type { QuotaSettings } from '#admission/QuotaSettings.js';

/**
 * Duration of a quota grant. A new quota holder admits new demand only after one grant duration: with 5 s, most
 * requests of the first seconds after a start or a move of the holder were refused.
 */
const GRANT_MS = 2_000;
/**
 * Grant duration for small entries. With 2 s, an entry of 20 units at 17 daemons served only 40 % of a fifth of its
 * rate.
 */
const SMALL_ENTRY_GRANT_MS = 250;
/**
 * Fraction of each limit that is used without the holder, so that admission continues for the 3 s of its replacement.
 */
const RESERVED_FRACTION = 0.3;
/** Bound on the clock-rate drift between two VMs, the same as for leases. */
const MAX_CLOCK_DRIFT = 0.01;

/** Constants by which the limits of catalogue entries are divided among the daemons; equal in the whole fleet. */
export const quotaConstants: QuotaSettings = {
  grantMs: GRANT_MS,
  smallEntryGrantMs: SMALL_ENTRY_GRANT_MS,
  reservedFraction: RESERVED_FRACTION,
  clockDrift: MAX_CLOCK_DRIFT,
};
