import type { QuotaSettings } from '#admission/QuotaSettings.js';

/**
 * A new holder admits new demand only after one slice, so slices are short: with 5 s, most requests of the first seconds
 * after a start or a move of the holder were refused.
 */
const SLICE_MS = 2_000;
/** With 2 s, an entry of 20 units served 40 % of a fifth of its rate from 17 daemons. */
const SMALL_SLICE_MS = 250;
/** Part of each limit by which admission goes on while the holder is replaced, which takes up to 3 s. */
const RESERVE = 0.3;
/** The same bound on clock-rate drift as that of the leases. */
const CLOCK_DRIFT = 0.01;

/** How the limits of catalogue entries are divided among the daemons; the same in the whole fleet. */
export const quotaConstants: QuotaSettings = {
  sliceMs: SLICE_MS,
  smallSliceMs: SMALL_SLICE_MS,
  reserve: RESERVE,
  clockDrift: CLOCK_DRIFT,
};
