import { hashKey } from '#core/HashKey.js';

/** Returns the index of the cell that holds a key. */
export function findCellIndex(key: string, cellCount: number): number {
  return cellCount <= 1 ? 0 : hashKey(key) % cellCount;
}
