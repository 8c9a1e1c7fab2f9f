import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';

/** A read-modify-write of one object. */
export interface UpdateRequest {
  readonly name: string;
  /** Returns the next value, or undefined for no change. Called again with the newer object after a conflict. */
  readonly change: (current: StoreObject | undefined) => unknown;
  /** Returns a mark that no other write carries. */
  readonly nextMark: () => string;
  /** Earlier writes of this change that are not settled. */
  readonly pending?: readonly PendingWrite[];
  /** Writes that are tried before the update is reported as a conflict. */
  readonly attempts?: number;
}
