import { countKeys } from '#ranges/CountKeys.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';

/**
 * Divides ranges among owners in few rows. Each receives keys in proportion to its share; without shares, each receives
 * nearly the same number.
 */
export function distributeRanges(
  ranges: readonly KeyRange[],
  owners: readonly RangeOwner[],
  shares: readonly number[] = owners.map(() => 1),
): readonly RangeTransfer[] {
  if (owners.length === 0) return [];
  const limits = listLimits(countKeys(ranges), shares);
  const transfers: RangeTransfer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  let assigned = 0;
  let index = 0;
  for (const range of ranges) {
    let from = range.from;
    while (from <= range.to) {
      while (index < owners.length - 1 && assigned >= (limits[index] ?? 0)) index += 1;
      const owner = owners[index];
      if (owner === undefined) break;
      const capacity = index === owners.length - 1 ? Infinity : (limits[index] ?? 0) - assigned;
      const to = Math.min(range.to, from + capacity - 1);
      transfers.push({ from, to, owner, handover: '' });
      assigned += to - from + 1;
      from = to + 1;
    }
  }
  return transfers;
}

/** Numbers of keys up to which each owner in turn receives keys. */
function listLimits(keys: number, shares: readonly number[]): readonly number[] {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return shares.map((_, index) => {
    const before = shares.slice(0, index + 1).reduce((sum, share) => sum + share, 0);
    return Math.ceil((keys * before) / total);
  });
}
