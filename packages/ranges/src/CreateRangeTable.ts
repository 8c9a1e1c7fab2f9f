import { divideKeys } from '#ranges/DivideKeys.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';

const FIRST_EPOCH = 1;

/** Creates a service's first table, with all keys divided evenly among the owners. */
export function createRangeTable(service: string, owners: readonly RangeOwner[]): RangeTable {
  const ranges = divideKeys(fullKeyRange, owners.length);
  const rows = owners.flatMap((owner, index) => {
    const range = ranges[index];
    return range === undefined ? [] : [{ ...range, ...owner, epoch: FIRST_EPOCH, handover: '' }];
  });
  return { service, lastEpoch: FIRST_EPOCH, rows };
}
