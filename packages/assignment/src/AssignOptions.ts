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
   * Daemons outside the cell that may serve as witnesses. At today's sizes a cell has two members in a region, so
   * witnesses of its members have to come from other services too.
   */
  readonly peers?: readonly WitnessCandidate[];
  /** `CostAwarePolicy` if absent. */
  readonly policy?: AssignmentPolicy;
}
