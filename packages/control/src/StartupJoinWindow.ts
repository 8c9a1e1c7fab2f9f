import type { Cell } from '#assignment/Cell.js';
import { listMembers } from '#assignment/ListMembers.js';

/** Members of a starting fleet join within this time of each other, in milliseconds. */
const QUIET_PERIOD_MS = 1_000;

/** Shards are placed after this time even if members still join, in milliseconds. */
const MAX_WAIT_MS = 5_000;

/**
 * Tells when the members of a cell have gathered, so that new shards are divided among all of them: shards that are
 * placed on the first member alone leave it only a few at a time. Times are monotonic, in milliseconds.
 */
export class StartupJoinWindow {
  private count = 0;
  private startedMs: number | undefined;
  private lastChangeMs = 0;

  /** Notes the members of the cell now, and returns whether they have gathered. */
  public isOver(cell: Cell, nowMs: number): boolean {
    const count = listMembers(cell, 'active').length;
    this.startedMs ??= nowMs;
    if (count !== this.count) {
      this.count = count;
      this.lastChangeMs = nowMs;
    }
    return nowMs - this.lastChangeMs >= QUIET_PERIOD_MS || nowMs - this.startedMs >= MAX_WAIT_MS;
  }
}
