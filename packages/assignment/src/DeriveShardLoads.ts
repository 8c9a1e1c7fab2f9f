import type { Cell } from '#assignment/Cell.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';

/**
 * Divides the load of each hash slot between the slot and its hot-key rows. `slotLoads` holds the requests per second
 * of all keys of a slot, `keyLoads` those of single keys by row id. Neither changes when a row is added or removed, so
 * averages over time stay valid.
 */
export function deriveShardLoads(
  cell: Cell,
  slotLoads: ReadonlyMap<string, number>,
  keyLoads: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const loads = new Map(slotLoads);
  for (const shardId of Object.keys(cell.shards)) {
    const slotId = findParentSlot(shardId);
    if (slotId === undefined) continue;
    const load = keyLoads.get(shardId) ?? 0;
    loads.set(shardId, load);
    loads.set(slotId, Math.max(0, (loads.get(slotId) ?? 0) - load));
  }
  return loads;
}
