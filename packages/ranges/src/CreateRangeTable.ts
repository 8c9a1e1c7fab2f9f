import { divideKeys } from '#ranges/DivideKeys.js';
import { keySpace } from '#ranges/KeySpace.js';
import type { Owner } from '#ranges/Owner.js';
import type { RangeTable } from '#ranges/RangeTable.js';

const FIRST_EPOCH = 1;

/** Divides all keys among the first owners of a service. */
export function createRangeTable(service: string, owners: readonly Owner[]): RangeTable {
  const ranges = divideKeys(keySpace, owners.length);
  const rows = owners.flatMap((owner, index) => {
    const range = ranges[index];
    return range === undefined ? [] : [{ ...range, ...owner, epoch: FIRST_EPOCH, handover: '' }];
  });
  return { service, lastEpoch: FIRST_EPOCH, rows };
}
