const WINDOW_MS = 1_000;

/** Limits the log lines per second and counts the lines that were omitted. */
export class LogSampler {
  private readonly maxPerSecond: number;
  private windowStartMs = -Infinity;
  private loggedInWindow = 0;
  private omitted = 0;

  public constructor(maxPerSecond: number) {
    this.maxPerSecond = maxPerSecond;
  }

  /** Returns the number of lines omitted since the last logged one, or undefined if this line must be omitted too. */
  public admit(nowMs: number): number | undefined {
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.loggedInWindow = 0;
    }
    if (this.loggedInWindow >= this.maxPerSecond) {
      this.omitted += 1;
      return undefined;
    }
    this.loggedInWindow += 1;
    const { omitted } = this;
    this.omitted = 0;
    return omitted;
  }
}
