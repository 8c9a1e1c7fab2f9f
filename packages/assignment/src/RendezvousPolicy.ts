import { hashKey } from '#core/HashKey.js';
import { allowsRegion } from '#assignment/AllowsRegion.js';
import { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { LoadTally } from '#assignment/LoadTally.js';
import type { Member } from '#assignment/Member.js';
import type { Move } from '#assignment/Move.js';
import { readPlacement } from '#assignment/ReadPlacement.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

const HASH_RANGE = 2 ** 32;

/**
 * Baseline for measurements: places each shard by weighted rendezvous hash over the slots of the members, regardless of
 * its load, and moves all shards at once that are elsewhere.
 */
export class RendezvousPolicy extends AssignmentPolicy {
  public override readonly name: string = 'rendezvous';

  public override placeShards(
    cell: Cell,
    shardIds: readonly string[],
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
  ): ReadonlyMap<string, string> {
    const { targets } = new LoadTally(cell, loads, withdrawn);
    return new Map(shardIds.map((shardId) => [shardId, chooseByHash(targets, shardId)]));
  }

  public override planMoves(
    cell: Cell,
    loads: CellLoads,
    withdrawn: readonly WithdrawalTarget[],
  ): readonly Move[] {
    const owners = this.placeShards(cell, Object.keys(cell.shards), loads, withdrawn);
    return Object.entries(cell.shards)
      .map(([shardId, { owner }]): Move => ({
        shardId,
        from: owner,
        to: owners.get(shardId) ?? '',
        reason: 'balance',
      }))
      .filter(({ from, to }) => from !== '' && to !== '' && from !== to);
  }
}

function chooseByHash(targets: readonly Member[], shardId: string): string {
  const placement = readPlacement(shardId);
  const scored = targets
    .filter((member) => allowsRegion(placement, member.region))
    .map(({ serverId, slots }) => ({ serverId, score: score(serverId, shardId, slots) }));
  return scored.sort((left, right) => right.score - left.score)[0]?.serverId ?? '';
}

/** Weighted rendezvous: a member wins with a probability in proportion to its slots. */
function score(serverId: string, shardId: string, slots: number): number {
  const uniform = (hashKey(`${serverId}/${shardId}`) + 0.5) / HASH_RANGE;
  return -Math.max(1, slots) / Math.log(uniform);
}
