import type { ShardRecords } from '#once/ShardRecords.js';

/** Parameters of the call `handover`: records of one shard, in parts of bounded size. */
export interface HandoverCall {
  readonly records: ShardRecords;
  /** Whether more parts of this shard follow. */
  readonly more: boolean;
}
