import type { Cancel } from '#core/Cancel.js';

/** Source of time and timers of a task. All durations and times are in milliseconds. */
export abstract class Clock {
  /** Monotonic time since an arbitrary origin; unaffected by wall-clock changes. */
  public abstract monotonicMs(): number;

  /** Wall-clock time since the Unix epoch; shared by the processes of one VM. */
  public abstract wallMs(): number;

  /** Runs `callback` once after `delayMs` and returns a function that cancels it. */
  public abstract schedule(delayMs: number, callback: () => void): Cancel;
}
