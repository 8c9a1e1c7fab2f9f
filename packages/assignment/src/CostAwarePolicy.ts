import { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { chooseOwner } from '#assignment/ChooseOwner.js';
import { FillLimit } from '#assignment/FillLimit.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import { LoadTally } from '#assignment/LoadTally.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import { placeByLoad } from '#assignment/PlaceByLoad.js';
import { planDrains } from '#assignment/PlanDrains.js';
import { recordMoves } from '#assignment/RecordMoves.js';
import { weighShards } from '#assignment/WeighShards.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Difference of utilization between two members, relative to the fair utilization, at which balance moves begin. */
const BEGIN_IMBALANCE = 0.3;
/** Difference of utilization at which balance moves end once they have begun. */
const END_IMBALANCE = 0.15;
/**
 * Time since the last balance move after which `BEGIN_IMBALANCE` applies again. It exceeds the 10 s for which a member
 * that is being filled may have to wait.
 */
const HYSTERESIS_RESET_MS = 15_000;
/** Gain that moving a hash slot, 1/128 of the keys, must exceed, relative to the mean weight of a slot. */
const SLOT_MOVE_COST = 0.5;
/** Gain that moving a hot-key row, a single key, must exceed, relative to the mean weight of a slot. */
const ROW_MOVE_COST = 0.1;
/** Number of the most loaded members that are considered as sources, which bounds the time of one call. */
const MAX_SOURCES = 8;
/** Balance moves that one call plans at most. */
const MAX_BATCH = 8;

/** A possible balance move and its value. */
interface MoveCandidate {
  readonly move: Move;
  readonly weight: number;
  /** Gain minus cost, as weight per slot of the source. */
  readonly value: number;
}

/** State of the search for balance moves in one call. */
interface BalanceSearch {
  /** Shards that may be moved for balance, by owner. */
  readonly owned: ReadonlyMap<string, readonly string[]>;
  readonly weights: ReadonlyMap<string, number>;
  readonly tally: LoadTally;
  readonly limit: FillLimit;
  readonly recentlyMoved: ReadonlySet<string>;
  /** Difference of utilization between two members at which no move is needed. */
  readonly tolerance: number;
  /** Mean weight of a hash slot. */
  readonly slotWeight: number;
}

/** Places shards on the least utilized members, and moves a shard only if the gain exceeds the cost of the move. */
export class CostAwarePolicy extends AssignmentPolicy {
  public override readonly name: string = 'costAware';

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
    allBudget: MoveBudget,
    nowMs: number,
  ): readonly Move[] {
    const budget = recordMoves(allBudget, [], nowMs);
    const weights = weighShards(cell, loads);
    const tally = new LoadTally(cell, loads, withdrawn);
    for (const [shardId, shard] of Object.entries(cell.shards))
      tally.add(shard.owner, weights.get(shardId) ?? 0);
    const drains = planDrains(cell, withdrawn, budget, nowMs, (shardId) => {
      const to = chooseOwner(tally, shardId, weights.get(shardId) ?? 0);
      if (to !== '') shiftWeight(tally, cell.shards[shardId]?.owner ?? '', to, weights.get(shardId) ?? 0);
      return to;
    });
    const limit = new FillLimit(cell, budget, nowMs);
    // A shard that moved within the last minute stays, so that a late load report can't move it back and forth.
    const recentlyMoved = new Set([...budget.recent, ...drains].map((move) => move.shardId));
    const remainingMoves =
      budget.balancePerMinute - budget.recent.filter((move) => move.reason === 'balance').length;
    const search: BalanceSearch = {
      owned: groupMovable(cell),
      weights,
      tally,
      limit,
      recentlyMoved,
      tolerance: this.findThreshold(budget, nowMs) * tally.fairUtilization(),
      slotWeight: findSlotWeight(weights),
    };
    return [...drains, ...this.planBalance(search, Math.min(remainingMoves, MAX_BATCH))];
  }

  /** Hysteresis: balance moves begin at a large imbalance and continue until a small one. */
  private findThreshold(budget: MoveBudget, nowMs: number): number {
    const isMoving = budget.recent.some(
      (move) => move.reason === 'balance' && move.atMs > nowMs - HYSTERESIS_RESET_MS,
    );
    return isMoving ? END_IMBALANCE : BEGIN_IMBALANCE;
  }

  private planBalance(search: BalanceSearch, count: number): readonly Move[] {
    const moves: Move[] = []; // eslint-disable-line no-restricted-syntax -- local result
    let recentlyMoved = search.recentlyMoved;
    while (moves.length < count) {
      const best = findBestCandidate({ ...search, recentlyMoved });
      if (best === undefined) break;
      shiftWeight(search.tally, best.move.from, best.move.to, best.weight);
      search.limit.add(best.move);
      recentlyMoved = new Set([...recentlyMoved, best.move.shardId]);
      moves.push(best.move);
    }
    return moves;
  }
}

/** Groups the movable shards by owner; a shard with fences stays, because its owner does not serve it yet. */
function groupMovable(cell: Cell): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>(); // eslint-disable-line no-restricted-syntax -- local result
  for (const [shardId, { owner, fences }] of Object.entries(cell.shards)) {
    if (fences.length > 0) continue;
    const group = groups.get(owner);
    if (group === undefined) groups.set(owner, [shardId]);
    else group.push(shardId);
  }
  return groups;
}

function findSlotWeight(weights: ReadonlyMap<string, number>): number {
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  const slots = [...weights.keys()].filter((shardId) => findParentSlot(shardId) === undefined).length;
  return total / Math.max(1, slots);
}

function shiftWeight(tally: LoadTally, from: string, to: string, weight: number): void {
  tally.add(from, -weight);
  tally.add(to, weight);
}

/** Finds the best move from the most loaded member that has one. */
function findBestCandidate(search: BalanceSearch): MoveCandidate | undefined {
  const { tally, owned, recentlyMoved, tolerance } = search;
  const sources = [...tally.targets]
    .map(({ serverId }) => ({ serverId, utilization: tally.utilization(serverId) }))
    .sort((left, right) => right.utilization - left.utilization)
    .slice(0, MAX_SOURCES);
  const least = Math.min(...tally.targets.map(({ serverId }) => tally.targetUtilization(serverId, 0)));
  for (const { serverId, utilization } of sources) {
    if (utilization - least <= tolerance) return undefined;
    const best = (owned.get(serverId) ?? [])
      .filter((shardId) => !recentlyMoved.has(shardId))
      .map((shardId) => createCandidate(search, shardId, serverId))
      .reduce(chooseBetter, undefined);
    if (best !== undefined) return best;
  }
  return undefined;
}

function chooseBetter(
  best: MoveCandidate | undefined,
  candidate: MoveCandidate | undefined,
): MoveCandidate | undefined {
  return best === undefined || (candidate !== undefined && candidate.value > best.value) ? candidate : best;
}

/** Values a move by how far it lowers the higher utilization of its two members; undefined if the cost is higher. */
function createCandidate(
  { weights, tally, limit, tolerance, slotWeight }: BalanceSearch,
  shardId: string,
  from: string,
): MoveCandidate | undefined {
  const weight = weights.get(shardId) ?? 0;
  const to = chooseOwner(tally, shardId, weight, new Set([from]));
  // While the best target is at its limit, the shard waits: from the second best target it would have to move again.
  if (to === '' || limit.isFull(to)) return undefined;
  const source = tally.utilization(from);
  const target = tally.targetUtilization(to, 0);
  if (source - target <= tolerance) return undefined;
  const after = Math.max(tally.utilization(from, -weight), tally.targetUtilization(to, weight));
  const cost = (findParentSlot(shardId) === undefined ? SLOT_MOVE_COST : ROW_MOVE_COST) * slotWeight;
  const value = source - after - cost / tally.slotsOf(from);
  return value > 0 ? { move: { shardId, from, to, reason: 'balance' }, weight, value } : undefined;
}
