import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Load of an owner of keys. */
export interface RangeOwnerLoad {
  readonly owner: RangeOwner;
  /** Work on its keys, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether it has any keys. */
  readonly hasKeys: boolean;
}
