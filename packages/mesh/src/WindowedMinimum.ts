/** Time after which the least value of the time before is forgotten, in milliseconds. */
const WINDOW_MS = 5_000;

/** The least value noted within the last 5 to 10 seconds. Times are monotonic, in milliseconds. */
export class WindowedMinimum {
  private sinceMs = -Infinity;
  private present = Infinity;
  private before = Infinity;

  /** Notes a value. */
  public note(value: number, nowMs: number): void {
    if (nowMs - this.sinceMs >= WINDOW_MS) {
      this.before = this.present;
      this.present = Infinity;
      this.sinceMs = nowMs;
    }
    this.present = Math.min(this.present, value);
  }

  /** The least value; undefined before the first. */
  public get value(): number | undefined {
    const least = Math.min(this.present, this.before);
    return least === Infinity ? undefined : least;
  }
}
