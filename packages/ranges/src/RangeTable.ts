import type { RangeRow } from '#ranges/RangeRow.js';

/** Ownership of all keys of one service. The rows are sorted, do not overlap and cover every key. */
export interface RangeTable {
  readonly service: string;
  /** Highest epoch ever assigned to a row. */
  readonly lastEpoch: number;
  readonly rows: readonly RangeRow[];
  /** Number of writes that only fence: a restarted daemon makes pending writes of its previous process fail. */
  readonly fences?: number | undefined;
}
