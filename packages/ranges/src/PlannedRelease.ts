import type { RangeOwner } from '#ranges/RangeOwner.js';

/** A planned request to an owner to release part of its keys to another owner. */
export interface PlannedRelease {
  readonly from: RangeOwner;
  readonly to: RangeOwner;
  /** Work that should move, in milliseconds per second. */
  readonly workMsPerSecond: number;
  /** Fraction of the keys that should move if no work was measured, between 0 and 1. */
  readonly share: number;
}
