/** Weight of a window that is slower than the level; a lasting change is accepted as the new level after some 50. */
const RISE_WEIGHT = 0.02;

/** Weight of a window that is faster than the level. */
const FALL_WEIGHT = 0.2;

/** A window counts as a step if it is slower than the level by this factor and by `MIN_STEP_MS`. */
const STEP_FACTOR = 2.5;

/** Differences below this are timer and scheduling noise, in milliseconds. */
const MIN_STEP_MS = 2;

/** Long-run level of the latency of one backend server, against which a sudden step is seen. */
export class LatencyLevel {
  private levelMs: number | undefined;

  public get valueMs(): number | undefined {
    return this.levelMs;
  }

  /** Adds the mean latency of a window and returns whether it is a step above the level. */
  public add(windowMeanMs: number): boolean {
    if (this.levelMs === undefined) {
      this.levelMs = windowMeanMs;
      return false;
    }
    const step = windowMeanMs > Math.max(this.levelMs * STEP_FACTOR, this.levelMs + MIN_STEP_MS);
    const weight = windowMeanMs > this.levelMs ? RISE_WEIGHT : FALL_WEIGHT;
    this.levelMs += weight * (windowMeanMs - this.levelMs);
    return step;
  }
}
