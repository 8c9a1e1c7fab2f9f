import type { KeyRange } from '#ranges/KeyRange.js';

/** Divides a range into `parts` ranges of nearly equal size, but no more than it has keys. */
export function divideKeys(range: KeyRange, parts: number): readonly KeyRange[] {
  const size = range.to - range.from + 1;
  const count = Math.min(parts, size);
  return Array.from({ length: count }, (_, index) => ({
    from: range.from + Math.floor((size * index) / count),
    to: range.from + Math.floor((size * (index + 1)) / count) - 1,
  }));
}
