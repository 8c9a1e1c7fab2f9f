import type { Clock } from '#core/Clock.js';

/**
 * Differences between the two clocks below this come from a pause of the process between reading them, in milliseconds.
 * The margin of a lease covers it.
 */
const CLOCK_NOISE_MS = 150;

/** Reads of the two clocks that are tried until no pause lies between them, and the longest time that is no pause. */
const READS = 4;
const CLOSE_READ_MS = 2;

/**
 * Measures elapsed time for the validity of what this process holds, so that it is not too short: a suspended VM stops the
 * monotonic clock but not the wall clock, and a step back of the wall clock does not touch the monotonic one. A step ahead
 * counts as elapsed. What others hold is waited out by the monotonic clock, which is never too long.
 */
export class ElapsedClock {
  private readonly clock: Clock;
  private readonly startMs: number;
  private offsetMs: number;
  private suspendedMs = 0;

  public constructor(clock: Clock) {
    this.clock = clock;
    this.startMs = clock.monotonicMs();
    this.offsetMs = this.readOffset();
  }

  /** Milliseconds since the creation of this object. */
  public nowMs(): number {
    const offsetMs = this.readOffset();
    const jumpMs = offsetMs - this.offsetMs;
    if (Math.abs(jumpMs) > CLOCK_NOISE_MS) {
      this.suspendedMs += Math.max(0, jumpMs);
      this.offsetMs = offsetMs;
    }
    return this.clock.monotonicMs() - this.startMs + this.suspendedMs;
  }

  /** Wall-clock time less monotonic time, read as close together as possible. */
  private readOffset(): number {
    let offsetMs = 0;
    for (let read = 0; read < READS; read += 1) {
      const beforeMs = this.clock.monotonicMs();
      offsetMs = this.clock.wallMs() - beforeMs;
      if (this.clock.monotonicMs() - beforeMs < CLOSE_READ_MS) break;
    }
    return offsetMs;
  }
}
