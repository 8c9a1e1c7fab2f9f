import type { Cancel } from '#core/Cancel.js';
import { SystemClock } from '#core/SystemClock.js';

/** System clock that holds back due timers while it is paused, as a stopped process does. */
export class PausableClock extends SystemClock {
  private paused = false;
  private held: (() => void)[] = [];

  public override schedule(delayMs: number, callback: () => void): Cancel {
    return super.schedule(delayMs, () => {
      if (this.paused) this.held.push(callback);
      else callback();
    });
  }

  public pause(): void {
    this.paused = true;
  }

  public resume(): void {
    this.paused = false;
    const held = this.held;
    this.held = [];
    for (const callback of held) callback();
  }
}
