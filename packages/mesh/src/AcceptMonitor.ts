/** Interval at which an idle event loop is checked; a shorter delay is not noticed. */
const CHECK_INTERVAL_MS = 50;

/**
 * Estimates how long new connections wait in the operating system's accept queue. Node accepts one connection per
 * iteration of the event loop, so the queue is known to be empty only after an iteration that accepted none. Times are
 * monotonic, in milliseconds.
 */
export class AcceptMonitor {
  /** Time at which nothing waited to be read. */
  private drainedMs: number;
  private turnMs: number;
  private hasAccepted = false;

  public constructor(nowMs: number) {
    this.drainedMs = nowMs;
    this.turnMs = nowMs;
  }

  /** Interval at which to check an idle event loop. */
  public get checkIntervalMs(): number {
    return CHECK_INTERVAL_MS;
  }

  /** Notes that sockets will be read next. */
  public startTurn(nowMs: number): void {
    this.turnMs = nowMs;
    this.hasAccepted = false;
  }

  public noteAccepted(): void {
    this.hasAccepted = true;
  }

  /** Notes that sockets were read; returns whether the accept queue was empty by then. */
  public endTurn(): boolean {
    if (!this.hasAccepted) this.drainedMs = this.turnMs;
    return !this.hasAccepted;
  }

  /** Longest time that data read now may have waited, less the check interval, which is the resolution. */
  public lagMs(nowMs: number): number {
    return Math.max(0, nowMs - this.drainedMs - CHECK_INTERVAL_MS);
  }
}
