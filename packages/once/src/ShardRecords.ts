import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';

/** Idempotency records of one shard, as they are handed over in a planned move. */
export interface ShardRecords {
  readonly shardId: string;
  /** Fencing token of the shard before the move. */
  readonly token: number;
  /** Lowest fencing token since which no records were lost. */
  readonly knownSince: number;
  /** Number of the current admission window; `records` covers this window and the previous one. */
  readonly window: number;
  readonly records: readonly IdempotencyRecord[];
}
