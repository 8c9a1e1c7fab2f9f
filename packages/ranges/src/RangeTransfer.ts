import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** A range of keys and its new owner. */
export interface RangeTransfer extends KeyRange {
  readonly owner: RangeOwner;
  /** Token of the state that the previous owner left; empty without one. */
  readonly handover: string;
}
