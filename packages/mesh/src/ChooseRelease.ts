import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** A piece with less than this part of the wanted work is not worth a move. */
const LEAST_PART = 0.2;

/**
 * Chooses the keys to give away: at an end of the row with the most work that can be cut, or of the longest one without
 * work. A row whose ends are too hot is passed over, so that a hot key is left alone with its server.
 */
export function chooseRelease(
  rows: readonly RangeRow[],
  loads: KeyLoads,
  request: RangeReleaseRequest,
  nowMs: number,
): KeyRange | undefined {
  const weighed = rows
    .map((row) => ({ row, work: loads.sum(row, nowMs) }))
    .toSorted((a, b) => b.work - a.work || size(b.row) - size(a.row));
  const busiest = weighed[0];
  if (busiest === undefined) return undefined;
  if (request.workMsPerSecond <= 0 || busiest.work <= 0) return cutShare(busiest.row, request.share);
  for (const { row, work } of weighed) {
    const wanted = Math.min(request.workMsPerSecond, work);
    const piece = loads.cutEnd(row, wanted, nowMs);
    if (piece !== undefined && loads.sum(piece, nowMs) >= request.workMsPerSecond * LEAST_PART) return piece;
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
