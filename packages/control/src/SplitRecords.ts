import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import type { HandoverCall } from '#control/HandoverCall.js';

/** Half of the largest message between daemons, because the estimate below ignores JSON escapes. */
const MAX_PART_BYTES = 500_000;
/** Estimated JSON size of a record without its stored response. */
const RECORD_OVERHEAD_BYTES = 300;

/** Splits the records of a shard into calls of bounded size; a shard without records gets one call, too. */
export function splitRecords(records: ShardRecords): readonly HandoverCall[] {
  const parts: IdempotencyRecord[][] = [[]]; // eslint-disable-line no-restricted-syntax -- local accumulator
  let bytes = 0;
  for (const record of records.records) {
    const size = RECORD_OVERHEAD_BYTES + record.answer.length;
    if (bytes > 0 && bytes + size > MAX_PART_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)?.push(record);
    bytes += size;
  }
  return parts.map((part, index) => ({
    records: { ...records, records: part },
    more: index < parts.length - 1,
  }));
}
