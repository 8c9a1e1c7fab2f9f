import { Backoff } from '#control/Backoff.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Whether the store could be reached, and when it may be called again. Used by the cell task alone. */
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

  /** Whether the store may be called for what is asked for again later. */
  public mayCall(nowMs: number): boolean {
    return nowMs >= this.notBeforeMs;
  }

  /** Notes the result of a read. */
  public noteRead(succeeded: boolean): void {
    this.reachable = succeeded;
  }

  /** Notes the result of a write; a conflict is a failure of the write, but an answer of the store. */
  public noteWrite(outcome: CellOutcome, nowMs: number): void {
    const isConflict = outcome.type === 'failed' && outcome.code === 'storeConflict';
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.backoff.noteResult(isFailure);
    this.notBeforeMs = nowMs + this.backoff.delayMs();
    this.reachable = !isFailure || isConflict;
  }

  /** Pause before a write is tried again, in milliseconds. */
  public retryDelayMs(): number {
    return this.backoff.delayMs();
  }
}
