import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';

/** Chooses the keys to give away: at an end of the row with the most work, or of the longest one without work. */
export function chooseRelease(
  rows: readonly RangeRow[],
  loads: KeyLoads,
  request: ReleaseRequest,
  nowMs: number,
): KeyRange | undefined {
  const weighed = rows.map((row) => ({ row, work: loads.sum(row, nowMs) }));
  const busiest = weighed.toSorted((a, b) => b.work - a.work || size(b.row) - size(a.row))[0];
  if (busiest === undefined) return undefined;
  if (request.workMsPerSecond > 0 && busiest.work > 0) {
    const wanted = Math.min(request.workMsPerSecond, busiest.work);
    return loads.cutEnd(busiest.row, wanted, nowMs);
  }
  const count = Math.floor(size(busiest.row) * request.share);
  return count < 1 ? undefined : { from: busiest.row.to - count + 1, to: busiest.row.to };
}

function size({ from, to }: KeyRange): number {
  return to - from + 1;
}
