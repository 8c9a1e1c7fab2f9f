import type { Cell } from '#assignment/Cell.js';
import type { Fence } from '#assignment/Fence.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';

/** Lists the fences that a server must satisfy before it may use all of its shards. */
export function listOwnFences(cell: Cell, serverId: string): readonly Fence[] {
  const ids = new Set(listOwnedShards(cell, serverId).flatMap((id) => cell.shards[id]?.fences ?? []));
  return cell.fences.filter((fence) => ids.has(fence.id));
}
