import { performance } from 'node:perf_hooks';
import type { Cancel } from '#core/Cancel.js';
import { Clock } from '#core/Clock.js';

/** Clock of the operating system. */
export class SystemClock extends Clock {
  public override monotonicMs(): number {
    return performance.now();
  }

  public override wallMs(): number {
    return Date.now();
  }

  public override schedule(delayMs: number, callback: () => void): Cancel {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  }
}
