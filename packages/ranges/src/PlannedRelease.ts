import type { RangeOwner } from '#ranges/RangeOwner.js';

/** A request to an owner of keys to give part of its work to another owner. */
export interface PlannedRelease {
  readonly from: RangeOwner;
  readonly to: RangeOwner;
  /** Work that should move, in milliseconds a second. */
  readonly workMsPerSecond: number;
  /** Part of the keys that should move if no work was measured, between 0 and 1. */
  readonly share: number;
}
