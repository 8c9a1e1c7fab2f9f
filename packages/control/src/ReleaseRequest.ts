import type { ShardRecords } from '#once/ShardRecords.js';

/** Asks the owner task to stop admitting requests for a shard and to return its idempotency records when none runs. */
export interface ReleaseRequest {
  readonly type: 'release';
  readonly shardId: string;
  readonly reply: (records: ShardRecords) => void;
}
