import type { ShardLoads } from '#control/ShardLoads.js';

/** A member of a full cell owns 2 shards of each placement; 24 bytes each leave a digest within one datagram. */
const MAX_LOADS_PER_DIGEST = 32;

/** Selects the load of the busiest shards, as many as a digest call carries. */
export function selectBusiest(loads: ShardLoads): ShardLoads {
  const busiest = Object.entries(loads).sort((left, right) => right[1] - left[1]);
  return Object.fromEntries(busiest.slice(0, MAX_LOADS_PER_DIGEST));
}
