/** The time over which requests to a cold backend server are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Limits what a cold backend server receives in any second. */
export class ColdStartLimit {
  private sent: readonly number[] = [];

  /** Notes a request that is sent now; counted also while the server is warm, as it may turn cold. */
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
