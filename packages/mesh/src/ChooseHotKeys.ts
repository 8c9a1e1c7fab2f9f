import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Above this fraction of an owner's work, moving other keys away does not relieve the hot ones. */
const HOT_FRACTION = 0.5;

/** A hot key moves only to a receiver that is faster than the owner by this factor. */
const MIN_SPEEDUP = 1.4;

/**
 * Returns the smallest measured key range if it carries most of an owner's work, and a receiver that is clearly
 * faster; undefined without either.
 */
export function chooseHotKeys(
  rows: readonly RangeRow[],
  loads: KeyLoads,
  requests: readonly RangeReleaseRequest[],
  nowMs: number,
): { readonly range: KeyRange; readonly to: string } | undefined {
  const fastest = requests.toSorted((left, right) => right.speedup - left.speedup)[0];
  if (fastest === undefined || fastest.speedup < MIN_SPEEDUP) return undefined;
  const total = rows.reduce((sum, row) => sum + loads.sum(row, nowMs), 0);
  const hottest = rows
    .map((row) => loads.findHottest(row, nowMs))
    .reduce((best, each) => (each.load > best.load ? each : best), { from: 0, to: 0, load: 0 });
  if (total === 0 || hottest.load < total * HOT_FRACTION) return undefined;
  return { range: { from: hottest.from, to: hottest.to }, to: fastest.to };
}
