import type { CallerCapacity } from '#connection/CallerCapacity.js';

/**
 * Fits a VM with 250 MB: a daemon without load takes 80 MB, unfinished heads at most 64 MB, unsent responses 40 MB, and the
 * bodies that are being read another 48 MB.
 */
export const defaultCallerCapacity: CallerCapacity = Object.freeze({
  maxConnections: 2_000,
  maxHeadBytes: 32 * 1_024,
  maxUnsentBytes: 40 * 1_024 * 1_024,
});
