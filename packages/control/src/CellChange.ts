import type { Cell } from '#assignment/Cell.js';
import type { PendingWrite } from '#store/PendingWrite.js';

/** A change of a cell for the store. */
export interface CellChange {
  /** Name of the change for the log. */
  readonly what: string;
  /** Servers that the change is about, for the log. */
  readonly peer?: string;
  readonly service: string;
  readonly index: number;
  /** Returns the changed cell; a result of undefined or the same cell writes nothing. */
  readonly apply: (cell: Cell) => Cell | undefined;
  /** Earlier writes of this change that are not settled. */
  readonly pending?: readonly PendingWrite[];
}
