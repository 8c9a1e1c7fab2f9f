import type { RangeTable } from '#ranges/RangeTable.js';

/** Ownership of the keys of a service as read at `revision` of the store. */
export interface TableView {
  readonly table: RangeTable;
  readonly revision: number;
}
