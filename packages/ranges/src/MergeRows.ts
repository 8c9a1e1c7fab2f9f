import { isSameOwner } from '#ranges/IsSameOwner.js';
import type { RangeRow } from '#ranges/RangeRow.js';

/** Joins adjacent rows that differ only in their keys. */
export function mergeRows(rows: readonly RangeRow[]): readonly RangeRow[] {
  const merged: RangeRow[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  for (const row of rows) {
    const last = merged.at(-1);
    if (last === undefined || !isSameGrant(last, row)) merged.push(row);
    else merged[merged.length - 1] = { ...last, to: row.to };
  }
  return merged;
}

function isSameGrant(left: RangeRow, right: RangeRow): boolean {
  return isSameOwner(left, right) && left.epoch === right.epoch && left.handover === right.handover;
}
