import { hashKey } from '#core/HashKey.js';
import { allowsRegion } from '#assignment/AllowsRegion.js';
import { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { LoadTally } from '#assignment/LoadTally.js';
import type { Move } from '#assignment/Move.js';
import { readPlacement } from '#assignment/ReadPlacement.js';
import { weighShards } from '#assignment/WeighShards.js';
import type { Withdrawn } from '#assignment/Withdrawn.js';

/** Weight of a failure domain's utilization against that of the member. */
const DOMAIN_FACTOR = 0.25;

/** Places shards on the members with most room, and moves a shard only if the gain exceeds the cost of the move. */
export class CostAwarePolicy extends AssignmentPolicy {
  public override readonly name: string = 'costAware';

  public override placeShards(
    cell: Cell,
    shardIds: readonly string[],
    loads: CellLoads,
    withdrawn: readonly Withdrawn[],
  ): ReadonlyMap<string, string> {
    const weights = weighShards(cell, loads);
    const tally = new LoadTally(cell, loads, withdrawn);
    const unplaced = new Set(shardIds);
    for (const [shardId, shard] of Object.entries(cell.shards))
      if (!unplaced.has(shardId)) tally.add(shard.owner, weights.get(shardId) ?? 0);
    const heaviestFirst = [...shardIds].sort(
      (left, right) => (weights.get(right) ?? 0) - (weights.get(left) ?? 0),
    );
    const owners = new Map<string, string>();
    for (const shardId of heaviestFirst) {
      const owner = chooseOwner(tally, shardId, weights.get(shardId) ?? 0);
      owners.set(shardId, owner);
      tally.add(owner, weights.get(shardId) ?? 0);
    }
    return owners;
  }

  public override planMoves(): readonly Move[] {
    return [];
  }
}

function chooseOwner(tally: LoadTally, shardId: string, weight: number): string {
  const placement = readPlacement(shardId);
  const ranked = tally.targets
    .filter((member) => allowsRegion(placement, member.region))
    .map(({ serverId }) => ({
      serverId,
      cost: tally.utilization(serverId, weight) + DOMAIN_FACTOR * tally.domainUtilization(serverId, weight),
    }));
  const least = Math.min(...ranked.map(({ cost }) => cost));
  const tied = ranked.filter(({ cost }) => cost === least).map(({ serverId }) => serverId);
  if (tied.length <= 1) return tied[0] ?? '';
  return tied.reduce((left, right) =>
    hashKey(`${left}/${shardId}`) >= hashKey(`${right}/${shardId}`) ? left : right,
  );
}
