import type { ShardRecords } from '#once/ShardRecords.js';

/**
 * Asks the owner task to stop admitting requests for a shard and to return its idempotency records when none runs.
 * The last `OwnershipUpdate` before it leaves the shard out. If a later one lists the shard again, the move failed and the
 * shard continues with the same records; once a cell names another owner, they may be dropped.
 */
export interface ShardReleaseRequest {
  readonly type: 'release';
  readonly shardId: string;
  readonly reply: (records: ShardRecords) => void;
}
