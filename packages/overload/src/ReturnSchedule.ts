/** Latest place that is given away, counted from now. A caller with the longest deadline waits for no longer. */
const HORIZON_MS = 2_000;

/**
 * Spreads the returns of refused callers over the time in which capacity becomes free: each refusal reserves the next
 * place. Places whose callers do not return are not reused. Times are monotonic, in milliseconds.
 */
export class ReturnSchedule {
  private nextMs = -Infinity;

  /**
   * Reserves the next place that is not before `earliestMs`, and returns the time until then; undefined if it is beyond
   * the horizon. `workMs` is the time that passes between two free places.
   */
  public reserve(nowMs: number, workMs: number, earliestMs = nowMs): number | undefined {
    const placeMs = Math.max(this.nextMs, earliestMs, nowMs) + workMs;
    if (placeMs - nowMs > HORIZON_MS) return undefined;
    this.nextMs = placeMs;
    return placeMs - nowMs;
  }
}
