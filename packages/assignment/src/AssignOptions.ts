import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { WitnessCandidate } from '#assignment/WitnessCandidate.js';

/** Facts from outside the cell object that an assignment takes into account. */
export interface AssignOptions {
  /** `orderGraceMs` of the service, in milliseconds; 0 if absent. */
  readonly graceMs?: number;
  readonly loads?: CellLoads;
  readonly withdrawn?: readonly WithdrawalTarget[];
  /**
   * Daemons outside the cell that may serve as witnesses. A small cell has only two members in a region, so that some
   * of their witnesses must come from other services.
   */
  readonly peers?: readonly WitnessCandidate[];
  /** `CostAwarePolicy` if absent. */
  readonly policy?: AssignmentPolicy;
}
