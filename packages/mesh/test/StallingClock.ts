import type { Cancel } from '#core/Cancel.js';
import { Clock } from '#core/Clock.js';

/** Tolerance for rounding errors, in milliseconds. */
const ROUNDING_MS = 0.01;

/**
 * Clock of one process that sometimes gets no processor time. Callbacks that become due meanwhile run later, in order. The
 * clock may run fast or slow, and its monotonic time stops while the VM is suspended.
 */
export class StallingClock extends Clock {
  private readonly clock: Clock;
  private readonly rate: number;
  /** Times on the underlying clock, in milliseconds. */
  private stalledUntilMs = 0;
  private suspendedFromMs = 0;
  private suspendedUntilMs = 0;
  private suspendedMs = 0;
  private isEnded = false;

  public constructor(clock: Clock, rate = 1) {
    super();
    this.clock = clock;
    this.rate = rate;
  }

  public override monotonicMs(): number {
    return (this.clock.monotonicMs() - this.suspendedMs - this.presentSuspensionMs) * this.rate;
  }

  public override wallMs(): number {
    return this.clock.wallMs() * this.rate;
  }

  public override schedule(delayMs: number, callback: () => void): Cancel {
    const dueMs = this.monotonicMs() + delayMs;
    let cancel: Cancel = () => undefined;
    const wait = (waitMs: number): void => {
      cancel = this.clock.schedule(waitMs, () => {
        const leftMs = dueMs - this.monotonicMs();
        if (leftMs > ROUNDING_MS) wait(leftMs / this.rate);
        else this.run(callback);
      });
    };
    wait(delayMs / this.rate);
    return () => cancel();
  }

  /** Whether the process is stalled or suspended. */
  public get isPaused(): boolean {
    return this.pauseLeftMs > 0;
  }

  /** Runs a callback now or once the process gets processor time again. Does nothing after the end of the process. */
  public run(callback: () => void): void {
    if (this.isEnded) return;
    if (this.isPaused) this.clock.schedule(this.pauseLeftMs, () => this.run(callback));
    else callback();
  }

  public stall(durationMs: number): void {
    this.stalledUntilMs = this.clock.monotonicMs() + durationMs;
  }

  /** Suspends the VM: the monotonic clock stops, the wall clock continues. */
  public suspend(durationMs: number): void {
    if (this.clock.monotonicMs() < this.suspendedUntilMs) return;
    this.suspendedMs += this.suspendedUntilMs - this.suspendedFromMs;
    this.suspendedFromMs = this.clock.monotonicMs();
    this.suspendedUntilMs = this.suspendedFromMs + durationMs;
  }

  /** Ends the process; its scheduled callbacks no longer run. */
  public end(): void {
    this.isEnded = true;
  }

  /** Remaining time without processor time. */
  private get pauseLeftMs(): number {
    return Math.max(this.stalledUntilMs, this.suspendedUntilMs) - this.clock.monotonicMs();
  }

  /** Elapsed duration of the last suspension, which may still continue. */
  private get presentSuspensionMs(): number {
    return Math.min(this.clock.monotonicMs(), this.suspendedUntilMs) - this.suspendedFromMs;
  }
}
