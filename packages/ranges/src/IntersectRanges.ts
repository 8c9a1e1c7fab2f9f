import type { KeyRange } from '#ranges/KeyRange.js';

/** Returns the parts of `ranges` that lie within the ranges of `within`, which must not overlap each other. */
export function intersectRanges<R extends KeyRange>(
  ranges: readonly R[],
  within: readonly KeyRange[],
): readonly R[] {
  return ranges.flatMap((range) =>
    within
      .map(({ from, to }) => ({ ...range, from: Math.max(range.from, from), to: Math.min(range.to, to) }))
      .filter(({ from, to }) => from <= to),
  );
}
