import type { OwnedShard } from '#control/OwnedShard.js';

/** Tells the owner task which shards it may use, each only while the monotonic clock is below `leaseEndMs`. */
export interface OwnershipUpdate {
  readonly type: 'ownership';
  readonly epoch: number;
  /** End of the lease on the monotonic clock, in milliseconds. */
  readonly leaseEndMs: number;
  /** Shards whose fences are satisfied, by shard id. */
  readonly shards: ReadonlyMap<string, OwnedShard>;
}
