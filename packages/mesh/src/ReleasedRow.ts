import type { KeyRange } from '#ranges/KeyRange.js';

/** A key range that a backend server released, with the handover token for the state it stored. */
export interface ReleasedRow extends KeyRange {
  readonly handover: string;
}
