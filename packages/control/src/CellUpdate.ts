import type { Cell } from '#assignment/Cell.js';

/** A newer version of a cell, for routing. */
export interface CellUpdate {
  readonly type: 'cell';
  readonly cell: Cell;
}
