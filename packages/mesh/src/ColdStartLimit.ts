/** Length of the sliding window in which requests are counted. */
const WINDOW_MS = 1_000;

/** Limits the number of requests that a cold backend server receives in any second. */
export class ColdStartLimit {
  private sent: readonly number[] = [];

  /** Notes a request that is sent now. Requests to a warm server count, too, as it may become cold. */
  public note(nowMs: number): void {
    this.sent = [...this.recent(nowMs), nowMs];
  }

  /** Whether one more request may be sent within `perSecond`. */
  public allows(perSecond: number, nowMs: number): boolean {
    return this.recent(nowMs).length < perSecond;
  }

  private recent(nowMs: number): readonly number[] {
    return this.sent.filter((atMs) => nowMs - atMs < WINDOW_MS);
  }
}
