import type { KeyRange } from '#ranges/KeyRange.js';

/** Counts the keys in ranges that do not overlap. */
export function countKeys(ranges: readonly KeyRange[]): number {
  return ranges.reduce((sum, { from, to }) => sum + to - from + 1, 0);
}
