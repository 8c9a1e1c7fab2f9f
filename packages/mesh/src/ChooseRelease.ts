import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Ranges that carry less than this fraction of the requested work are not moved. */
const MIN_WORK_FRACTION = 0.2;

/**
 * Chooses the keys to release: a range at one end of the busiest row that can be cut, or at the end of the longest row if
 * no work was measured. Rows whose ends are too hot are skipped, so that a hot key keeps a server to itself.
 */
export function chooseRelease(
  rows: readonly RangeRow[],
  loads: KeyLoads,
  request: RangeReleaseRequest,
  nowMs: number,
): KeyRange | undefined {
  const byWork = rows
    .map((row) => ({ row, work: loads.sum(row, nowMs) }))
    .toSorted((a, b) => b.work - a.work || size(b.row) - size(a.row));
  const busiest = byWork[0];
  if (busiest === undefined) return undefined;
  if (request.workMsPerSecond <= 0 || busiest.work <= 0) return cutShare(busiest.row, request.share);
  for (const { row, work } of byWork) {
    const wanted = Math.min(request.workMsPerSecond, work);
    const piece = loads.cutEnd(row, wanted, nowMs);
    if (piece !== undefined && loads.sum(piece, nowMs) >= request.workMsPerSecond * MIN_WORK_FRACTION)
      return piece;
  }
  return undefined;
}

function cutShare(row: RangeRow, share: number): KeyRange | undefined {
  const count = Math.floor(size(row) * share);
  return count < 1 ? undefined : { from: row.to - count + 1, to: row.to };
}

function size({ from, to }: KeyRange): number {
  return to - from + 1;
}
