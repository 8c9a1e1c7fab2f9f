/** Shortest time between two calls to the same holder; requests for all its tenants are collected meanwhile. */
const MIN_INTERVAL_MS = 125;

/** Time after which a call without a reply counts as failed. */
const REPLY_TIMEOUT_MS = 300;

/** The calls of this daemon to one other daemon: at most one at a time, and not too often. */
export class QuotaLink {
  private readonly intervalMs: number;
  private sentMs = -Infinity;
  private call: number | undefined;
  private tenants: readonly string[] = [];

  /** The calls to this daemon itself need no interval. */
  public constructor(isOwn: boolean) {
    this.intervalMs = isOwn ? 0 : MIN_INTERVAL_MS;
  }

  /** Notes a call, by its number, and the tenants that it is about. */
  public noteSent(call: number, tenants: readonly string[], nowMs: number): void {
    this.call = call;
    this.tenants = tenants;
    this.sentMs = nowMs;
  }

  /** Ends the call with a number and returns its tenants; undefined if it has ended before. */
  public end(call: number): readonly string[] | undefined {
    if (this.call !== call) return undefined;
    this.call = undefined;
    return this.tenants;
  }

  /** Returns the number of the call if it got no reply in time. */
  public findExpired(nowMs: number): number | undefined {
    return nowMs - this.sentMs >= REPLY_TIMEOUT_MS ? this.call : undefined;
  }

  public get lastSentMs(): number {
    return this.sentMs;
  }

  /** Time from which another call may be sent, or the pending one counts as failed. */
  public get nextMs(): number {
    return this.sentMs + (this.call === undefined ? this.intervalMs : REPLY_TIMEOUT_MS);
  }

  /** Whether a call may be sent now. */
  public isFree(nowMs: number): boolean {
    return this.call === undefined && nowMs >= this.nextMs;
  }
}
