import type { Cell } from '#assignment/Cell.js';
import { listMembers } from '#assignment/ListMembers.js';

/** The members of a starting fleet join less than this apart. */
const QUIET_PERIOD_MS = 1_000;

/** The window ends after this time even if members still join. */
const MAX_WAIT_MS = 5_000;

/**
 * Tells when the members of a new cell have joined, so that its shards are divided among all of them: shards that are
 * placed on the first member alone leave it only a few at a time. Times are monotonic, in milliseconds.
 */
export class StartupJoinWindow {
  private count = 0;
  private beganMs: number | undefined;
  private changedMs = 0;

  /** Notes the current members and returns whether the window is over. */
  public isOver(cell: Cell, nowMs: number): boolean {
    const count = listMembers(cell, 'active').length;
    this.beganMs ??= nowMs;
    if (count !== this.count) {
      this.count = count;
      this.changedMs = nowMs;
    }
    return nowMs - this.changedMs >= QUIET_PERIOD_MS || nowMs - this.beganMs >= MAX_WAIT_MS;
  }
}
