import type { ShardLoads } from '#control/ShardLoads.js';

/** At 24 bytes a shard a digest fits in one datagram; a member of a full cell owns 2 shards of each placement. */
const MAX_LOADS_PER_DIGEST = 32;

/** Returns the loads of the busiest shards, as many as one digest call carries. */
export function selectBusiest(loads: ShardLoads): ShardLoads {
  const busiest = Object.entries(loads).sort((left, right) => right[1] - left[1]);
  return Object.fromEntries(busiest.slice(0, MAX_LOADS_PER_DIGEST));
}
