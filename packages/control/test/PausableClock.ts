import type { Cancel } from '#core/Cancel.js';
import { SystemClock } from '#core/SystemClock.js';

/** System clock whose timers stand still while it is paused, as those of a stopped process do. */
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
