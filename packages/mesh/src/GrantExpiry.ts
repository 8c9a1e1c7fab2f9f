import type { Clock } from '#core/Clock.js';
import { computeLongestHoldMs } from '#ranges/ComputeLongestHoldMs.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/**
 * Tracks until when grants of keys may be in force. Nothing that is seen of a backend server ends them earlier: a network
 * fault can make a live one look as if it had ended. Times are monotonic, in milliseconds.
 */
export class GrantExpiry {
  private readonly timings: LeaseTimings;
  private inheritedMs: number;
  private lastMs: number;

  /** Assumes that the previous daemon process gave its longest grant just before this one started. */
  public constructor(clock: Clock, timings: LeaseTimings) {
    this.timings = timings;
    this.inheritedMs = clock.monotonicMs() + computeLongestHoldMs(timings.maxGrantMs, timings);
    this.lastMs = this.inheritedMs;
  }

  /** Time from which no grant is in force any longer. */
  public get endMs(): number {
    return this.lastMs;
  }

  /** End of the grants of the previous daemon process, whose receiver is unknown. */
  public get inheritedEndMs(): number {
    return this.inheritedMs;
  }

  /** Notes that the previous daemon process has no grants in force. */
  public noteNothingInherited(): void {
    this.inheritedMs = 0;
  }

  /**
   * Notes a grant in the reply to an announcement that arrived at `announcedMs`. It is counted from the sending of the
   * announcement, which was earlier.
   */
  public noteGranted(holdMs: number, announcedMs: number): void {
    this.lastMs = Math.max(this.lastMs, announcedMs + computeLongestHoldMs(holdMs, this.timings));
  }
}
