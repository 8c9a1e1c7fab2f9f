import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';

/** Weight of an idle shard relative to the mean load: idle shards are spread, too, because they may get load later. */
const IDLE_WEIGHT = 0.1;

/** Returns the weight of each shard: its load plus a small part of the mean, or 1 each without load reports. */
export function weighShards(cell: Cell, loads: CellLoads): ReadonlyMap<string, number> {
  const shardIds = Object.keys(cell.shards);
  const total = shardIds.reduce((sum, shardId) => sum + (loads.shards.get(shardId) ?? 0), 0);
  const idle = total > 0 ? (IDLE_WEIGHT * total) / shardIds.length : 1;
  return new Map(shardIds.map((shardId) => [shardId, (loads.shards.get(shardId) ?? 0) + idle]));
}
