import { divideKeys } from '#ranges/DivideKeys.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';

const FIRST_EPOCH = 1;

/** Creates a service's first table, with all keys divided evenly among the owners and the token `epoch` in each row. */
export function createRangeTable(
  service: string,
  owners: readonly RangeOwner[],
  epoch = FIRST_EPOCH,
): RangeTable {
  const ranges = divideKeys(fullKeyRange, owners.length);
  const rows = owners.flatMap((owner, index) => {
    const range = ranges[index];
    return range === undefined ? [] : [{ ...range, ...owner, epoch, handover: '' }];
  });
  return { service, lastEpoch: epoch, rows };
}
