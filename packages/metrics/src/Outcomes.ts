import type { Outcome } from '#delivery/Outcome.js';

/** All outcomes, the successful one first. */
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
