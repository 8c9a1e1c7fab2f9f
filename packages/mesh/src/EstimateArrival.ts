/**
 * Estimates when a request arrived that was read at `readMs` and came at `earliestMs` or later: the middle of that
 * interval, which is cut to the deadline, as a caller that still waits sent it within its deadline.
 */
export function estimateArrival(readMs: number, earliestMs: number, deadlineMs: number | undefined): number {
  return readMs - Math.min(readMs - earliestMs, deadlineMs ?? Infinity) / 2;
}
