import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Keys with more than this part of an owner's work cannot be relieved by giving others away. */
const HOT_PART = 0.5;

/** A receiver has to be faster than the owner by this factor for a hot key to move. */
const FASTER = 1.4;

/** Keys that cannot be divided further and carry most of the work, with a receiver that is clearly faster. */
export function chooseHotKeys(
  rows: readonly RangeRow[],
  loads: KeyLoads,
  requests: readonly RangeReleaseRequest[],
  nowMs: number,
): { readonly range: KeyRange; readonly to: string } | undefined {
  const fastest = requests.toSorted((left, right) => right.speedup - left.speedup)[0];
  if (fastest === undefined || fastest.speedup < FASTER) return undefined;
  const total = rows.reduce((sum, row) => sum + loads.sum(row, nowMs), 0);
  const hottest = rows
    .map((row) => loads.findHottest(row, nowMs))
    .reduce((best, each) => (each.load > best.load ? each : best), { from: 0, to: 0, load: 0 });
  if (total === 0 || hottest.load < total * HOT_PART) return undefined;
  return { range: { from: hottest.from, to: hottest.to }, to: fastest.to };
}
