import type { QuotaSettings } from '#admission/QuotaSettings.js';

/**
 * Longer than the 3 s within which a lost holder is replaced. A slice is renewed after 0.6 of this time, so one that was due
 * for renewal at the loss ends 2 s after it, and the reserved part alone goes on.
 */
const SLICE_MS = 5_000;
/** Part of each limit by which admission goes on, at a low rate, while the holder cannot be reached. */
const RESERVE = 0.1;
/** The same bound on clock-rate drift as that of the leases. */
const CLOCK_DRIFT = 0.01;

/** How the limits of catalogue entries are divided among the daemons; the same in the whole fleet. */
export const QUOTA_CONSTANTS: QuotaSettings = {
  sliceMs: SLICE_MS,
  reserve: RESERVE,
  clockDrift: CLOCK_DRIFT,
};
