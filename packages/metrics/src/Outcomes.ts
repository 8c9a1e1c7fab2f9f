import type { Outcome } from '#delivery/Outcome.js';

/** All outcomes, in the order in which they are reported. */
export const outcomes: readonly Outcome[] = Object.freeze([
  'delivered',
  'late',
  'partial',
  'sentUnconfirmed',
  'abandoned',
  'refused',
  'failed',
  'unknown',
]);
