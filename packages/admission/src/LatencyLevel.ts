/**
 * Time constant with which the level rises, in milliseconds. The weight depends on time and not on the number of
 * windows, since windows are short while few slots are allowed: with a fixed weight for each window, a sixfold step was
 * accepted as normal after 130 responses.
 */
const RISE_TIME_CONSTANT_MS = 30_000;

/** Cap on the time that one window counts for, so that the first window after an idle time does not dominate. */
const MAX_COUNTED_WINDOW_MS = 1_000;

/** Weight of a window whose latency is below the level. */
const FALL_WEIGHT = 0.2;

/** A window counts as a latency step if it exceeds the level both by this factor and by `MIN_STEP_MS`. */
const STEP_FACTOR = 2.5;

/** Differences below this are timer and scheduling noise. */
const MIN_STEP_MS = 2;

/** Long-term latency level of one backend server, with which new measurements are compared to detect sudden steps. */
export class LatencyLevel {
  private levelMs: number | undefined;
  private updatedMs = 0;

  public get valueMs(): number | undefined {
    return this.levelMs;
  }

  /** Adds the mean latency of a window that ended at `nowMs`; returns whether it is a latency step. */
  public add(windowMeanMs: number, nowMs: number): boolean {
    const elapsedMs = Math.min(MAX_COUNTED_WINDOW_MS, Math.max(0, nowMs - this.updatedMs));
    this.updatedMs = nowMs;
    if (this.levelMs === undefined) {
      this.levelMs = windowMeanMs;
      return false;
    }
    const step = windowMeanMs > Math.max(this.levelMs * STEP_FACTOR, this.levelMs + MIN_STEP_MS);
    const weight =
      windowMeanMs > this.levelMs ? 1 - Math.exp(-elapsedMs / RISE_TIME_CONSTANT_MS) : FALL_WEIGHT;
    this.levelMs += weight * (windowMeanMs - this.levelMs);
    return step;
  }
}
