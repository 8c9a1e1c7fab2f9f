/**
 * Time constant of a rise of the level, in milliseconds. By time and not by windows, since windows are short while few
 * slots are allowed: with a fixed weight, a sixfold step was accepted as normal after 130 answers.
 */
const RISE_MS = 30_000;

/** Longest time that one window counts for, in milliseconds, so that the first one after an idle time is not trusted. */
const MAX_WINDOW_MS = 1_000;

/** Weight of a window that is faster than the level. */
const FALL_WEIGHT = 0.2;

/** A window counts as a step if it is slower than the level by this factor and by `MIN_STEP_MS`. */
const STEP_FACTOR = 2.5;

/** Differences below this are timer and scheduling noise, in milliseconds. */
const MIN_STEP_MS = 2;

/** Long-run level of the latency of one backend server, against which a sudden step is seen. */
export class LatencyLevel {
  private levelMs: number | undefined;
  private updatedMs = 0;

  public get valueMs(): number | undefined {
    return this.levelMs;
  }

  /** Adds the mean latency of a window that ended at `nowMs`; returns whether it is a step above the level. */
  public add(windowMeanMs: number, nowMs: number): boolean {
    const elapsedMs = Math.min(MAX_WINDOW_MS, Math.max(0, nowMs - this.updatedMs));
    this.updatedMs = nowMs;
    if (this.levelMs === undefined) {
      this.levelMs = windowMeanMs;
      return false;
    }
    const step = windowMeanMs > Math.max(this.levelMs * STEP_FACTOR, this.levelMs + MIN_STEP_MS);
    const weight = windowMeanMs > this.levelMs ? 1 - Math.exp(-elapsedMs / RISE_MS) : FALL_WEIGHT;
    this.levelMs += weight * (windowMeanMs - this.levelMs);
    return step;
  }
}
