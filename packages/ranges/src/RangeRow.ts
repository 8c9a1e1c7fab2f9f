import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Keys that one backend server owns. */
export interface RangeRow extends KeyRange, RangeOwner {
  /** Fencing token; higher than that of each earlier owner of any of the keys. */
  readonly epoch: number;
  /** Token of the state that the last owner left, or empty if there is none. */
  readonly handover: string;
}
