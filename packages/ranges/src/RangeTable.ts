import type { RangeRow } from '#ranges/RangeRow.js';

/** Ownership of all keys of one service. Rows are sorted, do not overlap and leave no key out. */
export interface RangeTable {
  readonly service: string;
  /** Highest epoch that any row has or had. */
  readonly lastEpoch: number;
  readonly rows: readonly RangeRow[];
  /** Number of writes by restarted daemons that only make late writes of their former runs fail. */
  readonly fences?: number | undefined;
}
