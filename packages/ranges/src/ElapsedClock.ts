import type { Clock } from '#core/Clock.js';

/** Differences between the two clocks below this are noise of their resolution, in milliseconds. */
const CLOCK_NOISE_MS = 20;

/**
 * Measures elapsed time so that it is never too short: a suspended VM stops the monotonic clock but not the wall clock,
 * and a step back of the wall clock does not touch the monotonic one. A step ahead counts as elapsed.
 */
export class ElapsedClock {
  private readonly clock: Clock;
  private readonly startMs: number;
  private offsetMs: number;
  private suspendedMs = 0;

  public constructor(clock: Clock) {
    this.clock = clock;
    this.startMs = clock.monotonicMs();
    this.offsetMs = clock.wallMs() - this.startMs;
  }

  /** Milliseconds since the creation of this object. */
  public nowMs(): number {
    const monotonicMs = this.clock.monotonicMs();
    const offsetMs = this.clock.wallMs() - monotonicMs;
    const jumpMs = offsetMs - this.offsetMs;
    if (Math.abs(jumpMs) > CLOCK_NOISE_MS) {
      this.suspendedMs += Math.max(0, jumpMs);
      this.offsetMs = offsetMs;
    }
    return monotonicMs - this.startMs + this.suspendedMs;
  }
}
