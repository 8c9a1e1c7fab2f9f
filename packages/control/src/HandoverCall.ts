import type { ShardRecords } from '#once/ShardRecords.js';

/** Parameters of the call `handover`: the idempotency records of one shard, or a part of them. */
export interface HandoverCall {
  readonly records: ShardRecords;
  /** Whether more parts of this shard follow. */
  readonly more: boolean;
}
