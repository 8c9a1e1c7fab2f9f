import type { RangeTable } from '#ranges/RangeTable.js';

/** Returns the table such that the next transfer uses a fencing token of at least `floor`; the table itself if it does. */
export function raiseTokens(table: RangeTable, floor: number): RangeTable {
  return table.lastEpoch + 1 >= floor ? table : { ...table, lastEpoch: floor - 1 };
}
