import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys that a backend server reports to hold, or for which it still runs requests. */
export interface HeldRow extends KeyRange {
  readonly epoch: number;
}
