import { mergeRows } from '#ranges/MergeRows.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';

/** Transfers keys to new owners under one new epoch. Where transfers overlap, the last one wins. */
export function transferRanges(table: RangeTable, transfers: readonly RangeTransfer[]): RangeTable {
  const epoch = table.lastEpoch + 1;
  const rows = transfers.reduce((current, transfer) => replaceKeys(current, transfer, epoch), table.rows);
  return { ...table, lastEpoch: epoch, rows: mergeRows(rows) };
}

function replaceKeys(rows: readonly RangeRow[], transfer: RangeTransfer, epoch: number): readonly RangeRow[] {
  const { from, to, handover, owner } = transfer;
  const kept = subtractRanges(rows, [transfer]);
  return [...kept, { from, to, ...owner, epoch, handover }].toSorted((left, right) => left.from - right.from);
}
