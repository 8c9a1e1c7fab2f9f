import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import type { HandoverCall } from '#control/HandoverCall.js';

/** Half of the largest message between daemons, since the estimate below leaves out escapes. */
const MAX_PART_BYTES = 500_000;
/** Size of a record in JSON without its answer. */
const RECORD_OVERHEAD_BYTES = 300;

/** Splits the records of a shard into calls of bounded size; at least one. */
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
