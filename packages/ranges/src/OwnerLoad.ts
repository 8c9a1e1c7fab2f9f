import type { Owner } from '#ranges/Owner.js';

/** Load of an owner of keys. */
export interface OwnerLoad {
  readonly owner: Owner;
  /** Work on its keys, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether it has any keys. */
  readonly hasKeys: boolean;
}
