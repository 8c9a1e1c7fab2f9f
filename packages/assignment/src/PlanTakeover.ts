import type { AssignOptions } from '#assignment/AssignOptions.js';
import { assignShards } from '#assignment/AssignShards.js';
import type { Cell } from '#assignment/Cell.js';
import { createFence } from '#assignment/CreateFence.js';
import { dropUnreferenced } from '#assignment/DropUnreferenced.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';

/**
 * Takes over the shards of all lost members in one change: the members become `gone`, and their shards get new owners,
 * new tokens and a fence for the lost grant. Shards of other members don't change; a shard without an active member in
 * its regions becomes unowned. Returns the same cell if all lost members are `gone` already.
 */
export function planTakeover(
  cell: Cell,
  lostServerIds: readonly string[],
  options: AssignOptions = {},
): Cell {
  const lost = cell.members.filter(
    (member) => member.state !== 'gone' && lostServerIds.includes(member.serverId),
  );
  if (lost.length === 0) return cell;
  const members = cell.members.map((member) =>
    lost.includes(member) ? { ...member, state: 'gone' as const } : member,
  );
  const taken = lost.flatMap((member) => listOwnedShards(cell, member.serverId));
  const fenced = lost.reduce<Cell>(
    (state, member) => fenceShards(state, member.serverId, options.graceMs ?? 0),
    cell,
  );
  return dropUnreferenced(assignShards({ ...fenced, members }, taken, options));
}

function fenceShards(cell: Cell, serverId: string, graceMs: number): Cell {
  const member = cell.members.find((other) => other.serverId === serverId);
  const owned = listOwnedShards(cell, serverId);
  if (member === undefined || owned.length === 0) return cell;
  const fence = createFence(cell, member, graceMs);
  const changed = owned.map((shardId) => {
    const shard = cell.shards[shardId];
    return [shardId, { ...shard, owner: '', fences: [...(shard?.fences ?? []), fence.id] }] as const;
  });
  const shards = { ...cell.shards, ...Object.fromEntries(changed) };
  return { ...cell, shards: shards as Cell['shards'], fences: [...cell.fences, fence] };
}
