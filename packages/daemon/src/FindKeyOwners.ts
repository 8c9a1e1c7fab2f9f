import type { KeyOwner } from '#admin/KeyOwner.js';
import type { Cell } from '#assignment/Cell.js';
import { findShard } from '#assignment/FindShard.js';
import type { FoundShard } from '#assignment/FoundShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import { readPlacement } from '#assignment/ReadPlacement.js';

/** Finds the owner of a key in the placement of `regions`, or in each placement of the cell if `regions` is empty. */
export function findKeyOwners(cell: Cell, key: string, regions: readonly string[]): readonly KeyOwner[] {
  const all = [...new Set(Object.keys(cell.shards).map(readPlacement))];
  const placements = regions.length > 0 ? [formatPlacement(regions)] : all;
  return placements.flatMap((placement) => {
    const found = findShard(cell, placement, key);
    return found === undefined ? [] : [describeOwner(cell, placement, found)];
  });
}

function describeOwner(cell: Cell, placement: string, { shardId, shard }: FoundShard): KeyOwner {
  const member = cell.members.find(({ serverId }) => serverId === shard.owner);
  return {
    placement,
    shardId,
    serverId: shard.owner,
    address: member === undefined ? '' : `${member.host}:${member.callerPort}`,
    token: shard.token,
    reason: explainOwner(cell, { shardId, shard }),
  };
}

function explainOwner(cell: Cell, { shardId, shard }: FoundShard): string {
  const fence = cell.fences.find(({ id }) => shard.fences.includes(id));
  if (shard.owner === '') return 'no member is eligible to own it';
  if (fence !== undefined) return `takeover of ${fence.serverId}`;
  return shardId.includes('/key:') ? 'hot key' : 'hash slot';
}
