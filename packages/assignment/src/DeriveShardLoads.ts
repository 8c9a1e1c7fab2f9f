import type { Cell } from '#assignment/Cell.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';

/**
 * Divides the load of hash slots among the slots and their hot-key rows. `slotLoads` holds the requests a second of all
 * keys of a slot, `keyLoads` those of single keys by row id; neither changes when a row begins or ends, so averages over
 * time stay valid.
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
