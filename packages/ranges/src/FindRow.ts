import type { RangeRow } from '#ranges/RangeRow.js';

/** Finds the row that contains `key` by binary search; `rows` must be sorted. */
export function findRow<R extends Pick<RangeRow, 'from' | 'to'>>(
  rows: readonly R[],
  key: number,
): R | undefined {
  let low = 0;
  let high = rows.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const row = rows[middle];
    if (row === undefined) return undefined;
    if (key < row.from) high = middle - 1;
    else if (key > row.to) low = middle + 1;
    else return row;
  }
  return undefined;
}
