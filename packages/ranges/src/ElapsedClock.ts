import type { Clock } from '#core/Clock.js';

/**
 * A smaller difference between the two clocks is caused by a pause of the process between the two reads, in milliseconds.
 * The margin of a lease covers it.
 */
const CLOCK_NOISE_MS = 150;

/**
 * Attempts to read both clocks without a pause in between, and the longest time between two reads that is no
 * pause.
 */
const MAX_READS = 4;
const MAX_READ_GAP_MS = 2;

/**
 * Measures the elapsed time by which this process judges the validity of its own leases and grants. It must not run slow:
 * the monotonic clock stops while a VM is suspended, but the wall clock does not, so a step of the wall clock ahead of
 * the monotonic clock counts as elapsed, and a step back is ignored. Leases and grants of others are waited out by the
 * monotonic clock instead, which never runs fast.
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

  /** Returns the milliseconds since the creation of this object. */
  public nowMs(): number {
    const offsetMs = this.readOffset();
    const jumpMs = offsetMs - this.offsetMs;
    if (Math.abs(jumpMs) > CLOCK_NOISE_MS) {
      this.suspendedMs += Math.max(0, jumpMs);
      this.offsetMs = offsetMs;
    }
    return this.clock.monotonicMs() - this.startMs + this.suspendedMs;
  }

  /** Returns the wall-clock time less the monotonic time, read as close together as possible. */
  private readOffset(): number {
    let offsetMs = 0;
    for (let read = 0; read < MAX_READS; read += 1) {
      const beforeMs = this.clock.monotonicMs();
      offsetMs = this.clock.wallMs() - beforeMs;
      if (this.clock.monotonicMs() - beforeMs < MAX_READ_GAP_MS) break;
    }
    return offsetMs;
  }
}
