import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Keys that change hands. */
export interface RangeTransfer extends KeyRange {
  readonly owner: RangeOwner;
  /** Token of the state that the last owner left, or empty. */
  readonly handover: string;
}
