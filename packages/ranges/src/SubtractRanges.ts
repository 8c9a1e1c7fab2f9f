import type { KeyRange } from '#ranges/KeyRange.js';
import { overlaps } from '#ranges/Overlaps.js';

/** Returns the parts of rows that lie outside the `taken` ranges. */
export function subtractRanges<R extends KeyRange>(
  rows: readonly R[],
  taken: readonly KeyRange[],
): readonly R[] {
  return taken.reduce((left, range) => left.flatMap((row) => cut(row, range)), rows);
}

function cut<R extends KeyRange>(row: R, range: KeyRange): readonly R[] {
  if (!overlaps(row, range)) return [row];
  const before = row.from < range.from ? [{ ...row, to: range.from - 1 }] : [];
  const after = row.to > range.to ? [{ ...row, from: range.to + 1 }] : [];
  return [...before, ...after];
}
