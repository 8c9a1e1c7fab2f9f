import type { Cell } from '#assignment/Cell.js';
import type { PendingWrite } from '#store/PendingWrite.js';

/** A change of a cell that is to be written to the store. */
export interface CellChange {
  /** Name of the change for the log. */
  readonly changeName: string;
  /** Server ids that the change concerns, for the log. */
  readonly peer?: string;
  readonly service: string;
  readonly index: number;
  /** Returns the changed cell; nothing is written if it returns undefined or the same cell. */
  readonly apply: (cell: Cell) => Cell | undefined;
  /** Earlier writes of this change whose results are unknown. */
  readonly pending?: readonly PendingWrite[];
}
