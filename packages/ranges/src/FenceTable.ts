import type { RangeTable } from '#ranges/RangeTable.js';

/**
 * Returns the table with a changed fence count: writing it creates a new revision, so that pending conditional
 * writes of the old one fail.
 */
export function fenceTable(table: RangeTable): RangeTable {
  return { ...table, fences: (table.fences ?? 0) + 1 };
}
