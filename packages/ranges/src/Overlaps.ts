import type { KeyRange } from '#ranges/KeyRange.js';

/** Whether two ranges have a key in common. */
export function overlaps(left: KeyRange, right: KeyRange): boolean {
  return left.from <= right.to && right.from <= left.to;
}
