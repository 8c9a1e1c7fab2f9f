import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { findMember } from '#assignment/FindMember.js';

/**
 * Whether a member carries more than its share of the load in proportion to its slots. Only such members give shards
 * away for balance; the others skip the planning, which takes about 6 ms in a cell of 64 members.
 */
export function exceedsFairShare(cell: Cell, serverId: string, loads: CellLoads): boolean {
  const weightOf = (shardId: string): number =>
    loads.shards.size === 0 ? 1 : (loads.shards.get(shardId) ?? 0);
  const weights = Object.entries(cell.shards).map(([shardId, { owner }]) => ({
    owner,
    weight: weightOf(shardId),
  }));
  const total = weights.reduce((sum, { weight }) => sum + weight, 0);
  const own = weights.reduce((sum, { owner, weight }) => sum + (owner === serverId ? weight : 0), 0);
  const active = cell.members.filter((member) => member.state === 'active');
  const slots = active.reduce((sum, member) => sum + member.slots, 0);
  return own * slots > total * (findMember(cell, serverId)?.slots ?? 1);
}
