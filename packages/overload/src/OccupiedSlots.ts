/** Time after the start of a daemon in which its server may still run requests of the daemon's former run, in milliseconds. */
const MAX_FORMER_MS = 15_000;

/**
 * Time after which a report of the server no longer counts, so that a server that never responds again is not left
 * unused.
 */
const REPORT_VALIDITY_MS = 1_000;

/**
 * Counts the slots of a server that requests of the daemon's former run still use, from the server's own load reports. A
 * server may never respond to a request that it cannot queue. Times are monotonic, in milliseconds.
 */
export class OccupiedSlots {
  private readonly endMs: number;
  private occupied = 0;
  private reportedMs = -Infinity;

  /** `startedMs` is the time at which this run of the daemon started. */
  public constructor(startedMs: number) {
    this.endMs = startedMs + MAX_FORMER_MS;
  }

  /** Notes the number of requests that the server reports to run, and that of the daemon's requests that it ran then. */
  public note(reported: number, own: number, nowMs: number): void {
    if (nowMs >= this.endMs) return;
    this.occupied = Math.max(0, reported - own);
    this.reportedMs = nowMs;
  }

  /** Number of slots that the daemon may use. At least one, so that the server can report again. */
  public usable(slots: number, nowMs: number): number {
    const isCurrent = nowMs < this.endMs && nowMs - this.reportedMs < REPORT_VALIDITY_MS;
    return isCurrent ? Math.max(1, slots - this.occupied) : slots;
  }
}
