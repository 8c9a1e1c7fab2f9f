import type { KeyRange } from '#ranges/KeyRange.js';
import type { Owner } from '#ranges/Owner.js';

/** Keys that change hands. */
export interface RangeTransfer extends KeyRange {
  readonly owner: Owner;
  /** Token of the state that the last owner left, or empty. */
  readonly handover: string;
}
