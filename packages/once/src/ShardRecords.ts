import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';

/** Idempotency records of one shard, as handed over in a planned move. */
export interface ShardRecords {
  readonly shardId: string;
  /** Token at the time of the hand-over. */
  readonly token: number;
  /** Lowest token whose ids are all remembered. */
  readonly knownSince: number;
  /** Number of the current admission window; ids of this window and of the one before are remembered. */
  readonly window: number;
  readonly records: readonly IdempotencyRecord[];
}
