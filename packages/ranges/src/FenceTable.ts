import type { RangeTable } from '#ranges/RangeTable.js';

/** The same ownership as a new revision, so that conditional writes under way to the store fail. */
export function fenceTable(table: RangeTable): RangeTable {
  return { ...table, fences: (table.fences ?? 0) + 1 };
}
