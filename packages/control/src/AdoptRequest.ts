import type { ShardRecords } from '#once/ShardRecords.js';

/**
 * Gives the owner task the idempotency records of a shard that moves to this daemon, before the move is written to the
 * cell. If the move fails, no `OwnershipUpdate` lists the shard, and the records of a later request replace these.
 */
export interface AdoptRequest {
  readonly type: 'adopt';
  readonly records: ShardRecords;
}
