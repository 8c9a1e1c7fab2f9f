import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { CostAwarePolicy } from '#assignment/CostAwarePolicy.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

const DEFAULT_POLICY = new CostAwarePolicy();

/**
 * Plans the moves that may begin at `nowMs`. Each owner executes the moves of its own shards. The planner records them
 * with `recordMoves`, so that the limits hold across calls.
 */
export function planMoves(
  cell: Cell,
  loads: CellLoads,
  withdrawn: readonly WithdrawalTarget[],
  budget: MoveBudget,
  nowMs: number,
  policy: AssignmentPolicy = DEFAULT_POLICY,
): readonly Move[] {
  return policy.planMoves(cell, loads, withdrawn, budget, nowMs);
}
