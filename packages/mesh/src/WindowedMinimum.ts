/** Default duration of one of the two windows that are kept, in milliseconds. */
const WINDOW_MS = 5_000;

/** Minimum of the values noted within the last one to two windows. Times are monotonic, in milliseconds. */
export class WindowedMinimum {
  private readonly windowMs: number;
  private sinceMs = -Infinity;
  private current = Infinity;
  private previous = Infinity;

  public constructor(windowMs = WINDOW_MS) {
    this.windowMs = windowMs;
  }

  /** Notes a value. */
  public note(value: number, nowMs: number): void {
    if (nowMs - this.sinceMs >= this.windowMs) {
      this.previous = this.current;
      this.current = Infinity;
      this.sinceMs = nowMs;
    }
    this.current = Math.min(this.current, value);
  }

  /** The minimum; undefined before the first value. */
  public get value(): number | undefined {
    const least = Math.min(this.current, this.previous);
    return least === Infinity ? undefined : least;
  }
}
