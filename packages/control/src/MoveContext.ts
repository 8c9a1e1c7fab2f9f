import type { Move } from '#assignment/Move.js';
import type { ShardRecords } from '#once/ShardRecords.js';

/** Data of one transfer: planned moves from this daemon to one member. */
export interface MoveContext {
  readonly moves: readonly Move[];
  readonly to: string;
  /** Records of the shards that the request path has released so far. */
  readonly records: readonly ShardRecords[];
}
