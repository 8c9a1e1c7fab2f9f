import type { Cell } from '#assignment/Cell.js';
import type { StoreObject } from '#store/StoreObject.js';

/** Returns the cell that a store object contains, with the version and the mark of the object. */
export function readCell(object: StoreObject): Cell {
  return { ...(object.value as Cell), version: object.version, mark: object.marks[0] ?? '' };
}
