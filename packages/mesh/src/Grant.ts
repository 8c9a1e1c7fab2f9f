import type { RangeRow } from '#ranges/RangeRow.js';

/**
 * All keys that a backend server may hold, for `holdMs` milliseconds from the time at which it sent its
 * announcement.
 */
export interface Grant {
  readonly rows: readonly RangeRow[];
  readonly holdMs: number;
}
