import type { ShardRecords } from '#once/ShardRecords.js';

/** Gives the owner task the idempotency records of a shard that moves to this daemon. */
export interface AdoptRequest {
  readonly type: 'adopt';
  readonly records: ShardRecords;
}
