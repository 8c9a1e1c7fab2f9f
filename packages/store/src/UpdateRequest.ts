import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';

/** A read-modify-write of one object. */
export interface UpdateRequest {
  readonly name: string;
  /** Returns the next value, or undefined for no change. Called again with the newer object after a conflict. */
  readonly change: (current: StoreObject | undefined) => unknown;
  /** Returns a mark that no other write has. */
  readonly nextMark: () => string;
  /** Earlier writes of this change whose outcome is unknown. */
  readonly pending?: readonly PendingWrite[];
  /** Number of attempts before the update ends as `conflict` or `undecided`. */
  readonly attempts?: number;
}
