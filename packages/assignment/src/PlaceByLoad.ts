import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { chooseOwner } from '#assignment/ChooseOwner.js';
import { LoadTally } from '#assignment/LoadTally.js';
import { weighShards } from '#assignment/WeighShards.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Chooses owners for shards, heaviest first: for each the target that is least utilized with it. */
export function placeByLoad(
  cell: Cell,
  shardIds: readonly string[],
  loads: CellLoads,
  withdrawn: readonly WithdrawalTarget[],
): ReadonlyMap<string, string> {
  const weights = weighShards(cell, loads);
  const weightOf = (shardId: string): number => weights.get(shardId) ?? 0;
  const tally = new LoadTally(cell, loads, withdrawn);
  const unplaced = new Set(shardIds);
  for (const [shardId, shard] of Object.entries(cell.shards))
    if (!unplaced.has(shardId)) tally.add(shard.owner, weightOf(shardId));
  const owners = new Map<string, string>();
  for (const shardId of [...shardIds].sort((left, right) => weightOf(right) - weightOf(left))) {
    const owner = chooseOwner(tally, shardId, weightOf(shardId));
    owners.set(shardId, owner);
    tally.add(owner, weightOf(shardId));
  }
  return owners;
}
