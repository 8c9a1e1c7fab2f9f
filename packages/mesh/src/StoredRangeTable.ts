import type { RangeTable } from '#ranges/RangeTable.js';

/** Range table of a service, as stored at `revision`. */
export interface StoredRangeTable {
  readonly table: RangeTable;
  readonly revision: number;
}
