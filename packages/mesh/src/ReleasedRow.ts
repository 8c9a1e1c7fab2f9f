import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys that a backend server released, with the token of the state that it left. */
export interface ReleasedRow extends KeyRange {
  readonly handover: string;
}
