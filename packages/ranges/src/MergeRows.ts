import { isSameOwner } from '#ranges/IsSameOwner.js';
import type { RangeRow } from '#ranges/RangeRow.js';

/** Merges adjacent rows with the same owner, epoch and handover token. */
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
