import type { Cancel } from '#core/Cancel.js';
import { Clock } from '#core/Clock.js';

interface Timer {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** Clock that advances only by calls of `advance`; used by tests and by the model checker. */
export class ManualClock extends Clock {
  private nowMs = 0;
  private timers: readonly Timer[] = [];

  public override monotonicMs(): number {
    return this.nowMs;
  }

  public override wallMs(): number {
    return this.nowMs;
  }

  public override schedule(delayMs: number, callback: () => void): Cancel {
    const timer: Timer = { dueMs: this.nowMs + Math.max(0, delayMs), callback };
    this.timers = [...this.timers, timer];
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  /** Advances time by `durationMs` and runs the timers that become due, in order of their due time. */
  public advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.findNextTimer(endMs);
      if (next === undefined) break;
      this.timers = this.timers.filter((other) => other !== next);
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.callback();
    }
    this.nowMs = endMs;
  }

  private findNextTimer(endMs: number): Timer | undefined {
    const due = this.timers.filter((timer) => timer.dueMs <= endMs);
    return due.sort((left, right) => left.dueMs - right.dueMs)[0];
  }
}
