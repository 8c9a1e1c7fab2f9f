import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys that a backend server says it holds or still works on. */
export interface HeldRow extends KeyRange {
  readonly epoch: number;
}
