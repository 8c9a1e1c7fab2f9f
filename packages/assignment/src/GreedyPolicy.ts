import { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { chooseOwner } from '#assignment/ChooseOwner.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import { LoadTally } from '#assignment/LoadTally.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import { placeByLoad } from '#assignment/PlaceByLoad.js';
import { planDrains } from '#assignment/PlanDrains.js';
import { weighShards } from '#assignment/WeighShards.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Balance moves that one call plans at most. */
const MAX_BATCH = 8;

/**
 * Baseline for measurements: moves shards from the most loaded member as long as that lowers the peak utilization,
 * without a cost per move, hysteresis or a budget.
 */
export class GreedyPolicy extends AssignmentPolicy {
  public override readonly name: string = 'greedy';

  public override placeShards(
    cell: Cell,
    shardIds: readonly string[],
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
  ): ReadonlyMap<string, string> {
    return placeByLoad(cell, shardIds, loads, withdrawn);
  }

  public override planMoves(
    cell: Cell,
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
    budget: MoveBudget,
    nowMs: number,
  ): readonly Move[] {
    const weights = weighShards(cell, loads);
    const tally = new LoadTally(cell, loads, withdrawn);
    for (const [shardId, shard] of Object.entries(cell.shards))
      tally.add(shard.owner, weights.get(shardId) ?? 0);
    const weightOf = (shardId: string): number => weights.get(shardId) ?? 0;
    const drains = planDrains(cell, withdrawn, budget, nowMs, (shardId) =>
      chooseOwner(tally, shardId, weightOf(shardId)),
    );
    const moved = new Set(drains.map((move) => move.shardId));
    const moves = [...drains];
    while (moves.length < drains.length + MAX_BATCH) {
      const move = this.findMove(cell, tally, weightOf, moved);
      if (move === undefined) break;
      tally.add(move.from, -weightOf(move.shardId));
      tally.add(move.to, weightOf(move.shardId));
      moved.add(move.shardId);
      moves.push(move);
    }
    return moves;
  }

  private findMove(
    cell: Cell,
    tally: LoadTally,
    weightOf: (shardId: string) => number,
    moved: ReadonlySet<string>,
  ): Move | undefined {
    const ids = tally.targets.map((member) => member.serverId);
    const from = ids.reduce(
      (left, right) => (tally.utilization(left) >= tally.utilization(right) ? left : right),
      ids[0] ?? '',
    );
    const candidates = listOwnedShards(cell, from)
      .filter((shardId) => !moved.has(shardId))
      .map((shardId): Move => {
        const to = chooseOwner(tally, shardId, weightOf(shardId), new Set([from]));
        return { shardId, from, to, reason: 'balance' };
      })
      .filter(({ to }) => to !== '')
      .map((move) => ({
        move,
        peak: Math.max(
          tally.utilization(from, -weightOf(move.shardId)),
          tally.utilization(move.to, weightOf(move.shardId)),
        ),
      }))
      .filter(({ peak }) => peak < tally.utilization(from))
      .sort((left, right) => left.peak - right.peak);
    return candidates[0]?.move;
  }
}
