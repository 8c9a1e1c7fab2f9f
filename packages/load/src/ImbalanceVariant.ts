import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';

/** A way of assigning shards that the measurement `imbalance` compares. */
export interface ImbalanceVariant {
  readonly name: string;
  readonly policy: AssignmentPolicy;
  /** Whether each hot key becomes a shard of its own. */
  readonly splitsHotKeys: boolean;
}
