import type { Cell } from '#assignment/Cell.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';

/** Returns the cells with `cell` added or replaced; the keys are those of `formatCellKey`. */
export function putCell(cells: ReadonlyMap<string, Cell>, cell: Cell): ReadonlyMap<string, Cell> {
  return new Map(cells).set(formatCellKey(cell.service, cell.index), cell);
}
