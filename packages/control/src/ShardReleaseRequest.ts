import type { ShardRecords } from '#once/ShardRecords.js';

/**
 * Asks the owner task to stop admitting requests for a shard and, once none runs, to return its idempotency records.
 * The preceding `OwnershipUpdate` no longer lists the shard. If a later update lists it again, the move failed and the
 * shard continues with the same records. Once a cell names another owner, the records may be dropped.
 */
export interface ShardReleaseRequest {
  readonly type: 'release';
  readonly shardId: string;
  readonly reply: (records: ShardRecords) => void;
}
