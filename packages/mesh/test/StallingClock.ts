import type { Cancel } from '#core/Cancel.js';
import { Clock } from '#core/Clock.js';

/** Difference of times that rounding may make, in milliseconds. */
const ROUNDING_MS = 0.01;

/**
 * The clock of one process that gets no processor time now and then: what is due then happens later, in order. It may run
 * fast or slow, and stops while its VM is suspended.
 */
export class StallingClock extends Clock {
  private readonly clock: Clock;
  private readonly rate: number;
  /** Times of the clock on which this one is based, in milliseconds. */
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

  /** Whether the process gets no processor time now. */
  public get isAway(): boolean {
    return this.awayMs > 0;
  }

  /** Runs something now, or once the process gets processor time; never after its end. */
  public run(callback: () => void): void {
    if (this.isEnded) return;
    if (this.isAway) this.clock.schedule(this.awayMs, () => this.run(callback));
    else callback();
  }

  public stall(durationMs: number): void {
    this.stalledUntilMs = this.clock.monotonicMs() + durationMs;
  }

  /** Suspends the VM: the monotonic clock stops, the wall clock goes on. */
  public suspend(durationMs: number): void {
    if (this.clock.monotonicMs() < this.suspendedUntilMs) return;
    this.suspendedMs += this.suspendedUntilMs - this.suspendedFromMs;
    this.suspendedFromMs = this.clock.monotonicMs();
    this.suspendedUntilMs = this.suspendedFromMs + durationMs;
  }

  /** Ends the process: nothing that it scheduled happens any more. */
  public end(): void {
    this.isEnded = true;
  }

  /** Time for which the process still gets no processor time. */
  private get awayMs(): number {
    return Math.max(this.stalledUntilMs, this.suspendedUntilMs) - this.clock.monotonicMs();
  }

  /** Time of the last suspension, which may go on. */
  private get presentSuspensionMs(): number {
    return Math.min(this.clock.monotonicMs(), this.suspendedUntilMs) - this.suspendedFromMs;
  }
}
