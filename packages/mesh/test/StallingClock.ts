import type { Cancel } from '#core/Cancel.js';
import { Clock } from '#core/Clock.js';

/** The clock of one process that gets no processor time now and then: what is due then happens later, in order. */
export class StallingClock extends Clock {
  private readonly clock: Clock;
  private stalledUntilMs = 0;
  private isEnded = false;

  public constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  public override monotonicMs(): number {
    return this.clock.monotonicMs();
  }

  public override wallMs(): number {
    return this.clock.wallMs();
  }

  public override schedule(delayMs: number, callback: () => void): Cancel {
    return this.clock.schedule(delayMs, () => this.run(callback));
  }

  /** Runs something now, or once the process gets processor time; never after its end. */
  public run(callback: () => void): void {
    if (this.isEnded) return;
    const waitMs = this.stalledUntilMs - this.clock.monotonicMs();
    if (waitMs > 0) this.clock.schedule(waitMs, () => this.run(callback));
    else callback();
  }

  public stall(durationMs: number): void {
    this.stalledUntilMs = this.clock.monotonicMs() + durationMs;
  }

  /** Ends the process: nothing that it scheduled happens any more. */
  public end(): void {
    this.isEnded = true;
  }
}
