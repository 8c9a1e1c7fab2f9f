import type { CheckIn } from '#mesh/CheckIn.js';

/**
 * An answer to an announcement is held back for this part of the time to the next one, so that most changes of keys find
 * one waiting, and for at most the given time, in milliseconds: it counts only within a second.
 */
const HOLD_PART = 0.9;
const MAX_HOLD_MS = 800;

type Reply = CheckIn['reply'];

/** The answer to the last announcement while it is held back. Times are in milliseconds. */
export class HeldReply {
  public readonly holdMs: number;
  private reply: Reply | undefined;
  private sinceMs = 0;

  public constructor(announceEveryMs: number) {
    this.holdMs = Math.min(MAX_HOLD_MS, announceEveryMs * HOLD_PART);
  }

  public get isWaiting(): boolean {
    return this.reply !== undefined;
  }

  public hold(reply: Reply, nowMs: number): void {
    this.reply = reply;
    this.sinceMs = nowMs;
  }

  /** Whether the answer has been held back long enough. */
  public isDue(nowMs: number): boolean {
    return nowMs - this.sinceMs >= this.holdMs;
  }

  /** Removes and returns the answer that waits. */
  public take(): Reply | undefined {
    const { reply } = this;
    this.reply = undefined;
    return reply;
  }
}
