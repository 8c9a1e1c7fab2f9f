import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';

/** A way of assigning shards, as a row of the measurement `imbalance`. */
export interface ImbalanceVariant {
  readonly name: string;
  readonly policy: AssignmentPolicy;
  /** Whether hot keys get rows of their own. */
  readonly splitsKeys: boolean;
}
