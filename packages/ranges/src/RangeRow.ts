import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** A range of keys and its owner. */
export interface RangeRow extends KeyRange, RangeOwner {
  /** Fencing token, higher than that of any earlier owner of these keys. */
  readonly epoch: number;
  /** Token of the state that the previous owner left; empty without one. */
  readonly handover: string;
}
