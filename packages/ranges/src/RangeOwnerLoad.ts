import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Load of an owner, by which moves of keys are planned. */
export interface RangeOwnerLoad {
  readonly owner: RangeOwner;
  /** Work on its keys, in milliseconds per second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether it owns any keys. */
  readonly hasKeys: boolean;
}
