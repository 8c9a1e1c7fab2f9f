/** Time between two looks at an idle event loop, in milliseconds; a delay below it is not seen. */
const LOOK_MS = 50;

/**
 * Follows the connections that wait in the operating system. Node accepts one in each turn of the event loop, so that none
 * is left only after a turn without a new one. Times are monotonic, in milliseconds.
 */
export class AcceptWatch {
  /** Time at which nothing waited to be read. */
  private drainedMs: number;
  private turnMs: number;
  private hasAccepted = false;

  public constructor(nowMs: number) {
    this.drainedMs = nowMs;
    this.turnMs = nowMs;
  }

  /** Time after which an idle event loop is to be looked at. */
  public get lookMs(): number {
    return LOOK_MS;
  }

  /** Notes that sockets will be read next. */
  public startTurn(nowMs: number): void {
    this.turnMs = nowMs;
    this.hasAccepted = false;
  }

  public noteAccepted(): void {
    this.hasAccepted = true;
  }

  /** Notes that sockets were read, and tells whether no other connection waited then. */
  public endTurn(): boolean {
    if (!this.hasAccepted) this.drainedMs = this.turnMs;
    return !this.hasAccepted;
  }

  /** Time for which something that is read now may have waited, as far as that exceeds the time between two looks. */
  public lagMs(nowMs: number): number {
    return Math.max(0, nowMs - this.drainedMs - LOOK_MS);
  }
}
