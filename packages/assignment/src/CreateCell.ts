import type { Cell } from '#assignment/Cell.js';

/** Returns an empty cell that has not been written yet. */
export function createCell(service: string, index: number): Cell {
  return { service, index, version: 0, mark: '', members: [], shards: {}, fences: [] };
}
