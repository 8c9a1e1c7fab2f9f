import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Decides which members own shards. Implementations are pure: equal arguments give equal results. */
export abstract class AssignmentPolicy {
  /** Short name for measurements. */
  public abstract readonly name: string;

  /**
   * Chooses an owner for each of `shardIds`, regardless of their current owners; other shards stay where they are. The
   * owner is empty if the placement's regions have no active member.
   */
  public abstract placeShards(
    cell: Cell,
    shardIds: readonly string[],
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
  ): ReadonlyMap<string, string>;

  /** Chooses the planned moves that may begin at `nowMs` (the planner's monotonic clock). */
  public abstract planMoves(
    cell: Cell,
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
    budget: MoveBudget,
    nowMs: number,
  ): readonly Move[];
}
