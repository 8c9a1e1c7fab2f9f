import { countKeys } from '#ranges/CountKeys.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';

/** Divides ranges among owners so that each receives nearly the same number of keys, in few rows. */
export function distributeRanges(
  ranges: readonly KeyRange[],
  owners: readonly RangeOwner[],
): readonly RangeTransfer[] {
  if (owners.length === 0) return [];
  const quota = Math.ceil(countKeys(ranges) / owners.length);
  const transfers: RangeTransfer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  let assigned = 0;
  for (const range of ranges) {
    let from = range.from;
    while (from <= range.to) {
      const index = Math.min(owners.length - 1, Math.floor(assigned / quota));
      const owner = owners[index];
      if (owner === undefined) break;
      const capacity = index === owners.length - 1 ? range.to - from + 1 : quota * (index + 1) - assigned;
      const to = Math.min(range.to, from + capacity - 1);
      transfers.push({ from, to, owner, handover: '' });
      assigned += to - from + 1;
      from = to + 1;
    }
  }
  return transfers;
}
