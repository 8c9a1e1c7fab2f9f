import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Ranges that carry less than this fraction of the requested work are not moved. */
const MIN_WORK_FRACTION = 0.2;

/**
 * A range in the middle of a row is released if it has fewer keys than one at an end by this factor: each key that moves is
 * not served for some time, but a cut in the middle adds two rows to the table instead of one. With a factor of 3, ranges
 * were chosen that had been busy by chance, and the load came back within seconds.
 */
const MIN_KEYS_FACTOR = 30;

/**
 * Chooses the keys to release from the busiest row that can be cut: a range at one of its ends, or one in the middle that
 * carries the same work with far fewer keys; or the end of the longest row if no work was measured. A range that is too hot
 * stays, so that a hot key keeps a server to itself.
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
    const least = request.workMsPerSecond * MIN_WORK_FRACTION;
    const piece = chooseSmaller(
      loads.cutEnd(row, wanted, nowMs),
      loads.cutDensest(row, wanted, nowMs),
      (each) => loads.sum(each, nowMs) >= least,
    );
    if (piece !== undefined) return piece;
  }
  return undefined;
}

function chooseSmaller(
  end: KeyRange | undefined,
  dense: KeyRange | undefined,
  isEnough: (piece: KeyRange) => boolean,
): KeyRange | undefined {
  const usableEnd = end !== undefined && isEnough(end) ? end : undefined;
  if (dense === undefined || !isEnough(dense)) return usableEnd;
  return usableEnd === undefined || size(dense) * MIN_KEYS_FACTOR <= size(usableEnd) ? dense : usableEnd;
}

function cutShare(row: RangeRow, share: number): KeyRange | undefined {
  const count = Math.floor(size(row) * share);
  return count < 1 ? undefined : { from: row.to - count + 1, to: row.to };
}

function size({ from, to }: KeyRange): number {
  return to - from + 1;
}
