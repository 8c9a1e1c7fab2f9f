/**
 * Time at which a request probably arrived that was read at `readMs` and came at `earliestMs` or later: the middle of that
 * time. A caller that is still there sent it within its deadline.
 */
export function estimateArrival(readMs: number, earliestMs: number, deadlineMs: number | undefined): number {
  return readMs - Math.min(readMs - earliestMs, deadlineMs ?? Infinity) / 2;
}
