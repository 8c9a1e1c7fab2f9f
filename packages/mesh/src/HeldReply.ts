import type { CheckIn } from '#mesh/CheckIn.js';

/**
 * The reply to an announcement is delayed (long polling) for this fraction of the announcement interval, so that most
 * grant changes can be sent at once, but no longer than the limit in milliseconds: a grant in a reply is valid only if
 * it arrives within a second.
 */
const HOLD_FRACTION = 0.9;
const MAX_HOLD_MS = 800;

type Reply = CheckIn['reply'];

/** The delayed reply to the last announcement. Times are in milliseconds. */
export class HeldReply {
  public readonly holdMs: number;
  private reply: Reply | undefined;
  private sinceMs = 0;

  public constructor(announceEveryMs: number) {
    this.holdMs = Math.min(MAX_HOLD_MS, announceEveryMs * HOLD_FRACTION);
  }

  public get isWaiting(): boolean {
    return this.reply !== undefined;
  }

  public hold(reply: Reply, nowMs: number): void {
    this.reply = reply;
    this.sinceMs = nowMs;
  }

  /** Whether the reply was delayed for the full time. */
  public isDue(nowMs: number): boolean {
    return nowMs - this.sinceMs >= this.holdMs;
  }

  /** Removes and returns the delayed reply. */
  public take(): Reply | undefined {
    const { reply } = this;
    this.reply = undefined;
    return reply;
  }
}
