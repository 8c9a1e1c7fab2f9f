import type { CheckIn } from '#mesh/CheckIn.js';

/**
 * The reply to an announcement is delayed (long polling) for this fraction of the announcement interval, so that most
 * grant changes can be sent at once, but no longer than the limit in milliseconds: a grant in a reply is valid only if
 * it arrives within a second.
 */
const HOLD_FRACTION = 0.9;
const MAX_HOLD_MS = 800;

/** An announcement without a reply yet. */
interface OpenAnnouncement {
  /** Monotonic time of its arrival, in milliseconds. */
  readonly announcedMs: number;
  readonly reply: CheckIn['reply'];
}

/** The delayed reply to the last announcement. Times are monotonic, in milliseconds. */
export class HeldReply {
  public readonly holdMs: number;
  private open: OpenAnnouncement | undefined;

  public constructor(announceEveryMs: number) {
    this.holdMs = Math.min(MAX_HOLD_MS, announceEveryMs * HOLD_FRACTION);
  }

  public get isWaiting(): boolean {
    return this.open !== undefined;
  }

  public hold(reply: CheckIn['reply'], announcedMs: number): void {
    this.open = { announcedMs, reply };
  }

  /** Whether the reply was delayed for the full time. */
  public isDue(nowMs: number): boolean {
    return this.open !== undefined && nowMs - this.open.announcedMs >= this.holdMs;
  }

  /** Removes and returns the announcement whose reply is delayed. */
  public take(): OpenAnnouncement | undefined {
    const { open } = this;
    this.open = undefined;
    return open;
  }
}
