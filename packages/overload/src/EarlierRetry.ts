/** Returns the earlier of two times after which capacity is expected, of which 0 stands for none. */
export function earlierRetry(leftMs: number, rightMs: number): number {
  if (leftMs === 0 || rightMs === 0) return Math.max(leftMs, rightMs);
  return Math.min(leftMs, rightMs);
}
