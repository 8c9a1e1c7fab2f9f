/** The time over which lines are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Limits frequent log lines to a number each second and counts those that were left out. */
export class LogSampler {
  private readonly perSecond: number;
  private windowMs = -Infinity;
  private logged = 0;
  private omitted = 0;

  public constructor(perSecond: number) {
    this.perSecond = perSecond;
  }

  /** Returns the number of lines left out before this one, or undefined if this one is left out too. */
  public admit(nowMs: number): number | undefined {
    if (nowMs - this.windowMs >= WINDOW_MS) {
      this.windowMs = nowMs;
      this.logged = 0;
    }
    if (this.logged >= this.perSecond) {
      this.omitted += 1;
      return undefined;
    }
    this.logged += 1;
    const { omitted } = this;
    this.omitted = 0;
    return omitted;
  }
}
