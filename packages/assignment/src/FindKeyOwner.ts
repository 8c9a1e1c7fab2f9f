import type { Cell } from '#assignment/Cell.js';
import { findShard } from '#assignment/FindShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { Member } from '#assignment/Member.js';

/** Finds the member that owns the shard of a key; undefined if the shard is unknown or its owner is gone. */
export function findKeyOwner(cell: Cell, homeRegions: readonly string[], key: string): Member | undefined {
  const found = findShard(cell, formatPlacement(homeRegions), key);
  if (found === undefined) return undefined;
  return cell.members.find((member) => member.serverId === found.shard.owner && member.state !== 'gone');
}
