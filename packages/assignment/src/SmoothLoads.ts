import type { CellLoads } from '#assignment/CellLoads.js';

/** Loads below this, in requests per second, are dropped, which bounds the map by the shards in use. */
const MIN_LOAD = 0.001;

/**
 * Returns the exponential moving average of load reports, so that a peak shorter than `timeConstantMs` causes no moves.
 * `elapsedMs` is the time since the previous report. Shares are those of `sample`.
 */
export function smoothLoads(
  previous: CellLoads,
  sample: CellLoads,
  elapsedMs: number,
  timeConstantMs: number,
): CellLoads {
  const decay = Math.exp(-elapsedMs / timeConstantMs);
  const shardIds = new Set([...previous.shards.keys(), ...sample.shards.keys()]);
  const shards = [...shardIds].map((shardId): readonly [string, number] => {
    const old = previous.shards.get(shardId) ?? 0;
    const seen = sample.shards.get(shardId) ?? 0;
    return [shardId, decay * old + (1 - decay) * seen];
  });
  return { shards: new Map(shards.filter(([, load]) => load >= MIN_LOAD)), shares: sample.shares };
}
