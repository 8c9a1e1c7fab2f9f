import type { ShardRecords } from '#once/ShardRecords.js';

/**
 * Gives the owner task the idempotency records of a shard that moves to this daemon, before the move is written. If the
 * move fails, the shard is not listed; records of a later request replace these.
 */
export interface AdoptRequest {
  readonly type: 'adopt';
  readonly records: ShardRecords;
}
