import { Backoff } from '#control/Backoff.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Tracks whether the store is reachable, and the backoff after failed writes. Used only by the cell task. */
export class StoreHealthTracker {
  private readonly backoff: Backoff;
  private reachable = true;
  private notBeforeMs = 0;

  public constructor(random: RandomSource) {
    this.backoff = new Backoff(random);
  }

  public get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether the backoff is over. Until then, calls are skipped for work that will be requested again anyway. */
  public mayCall(nowMs: number): boolean {
    return nowMs >= this.notBeforeMs;
  }

  /** Notes the result of a read. */
  public noteRead(succeeded: boolean): void {
    this.reachable = succeeded;
  }

  /** Notes the result of a write. A conflict counts as a failure, but shows that the store is reachable. */
  public noteWrite(outcome: CellOutcome, nowMs: number): void {
    const isConflict = outcome.type === 'failed' && outcome.code === 'storeConflict';
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.backoff.noteResult(isFailure);
    this.notBeforeMs = nowMs + this.backoff.delayMs();
    this.reachable = !isFailure || isConflict;
  }

  /** Returns the delay before a failed write is repeated, in milliseconds. */
  public retryDelayMs(): number {
    return this.backoff.delayMs();
  }
}
