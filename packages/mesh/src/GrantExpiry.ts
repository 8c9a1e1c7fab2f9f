import type { Clock } from '#core/Clock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Longest time for a grant to reach the backend server. */
const MAX_DELIVERY_MS = 200;

/**
 * Tracks until when grants of keys may be in force. Nothing that is seen of a backend server ends them earlier: a network
 * fault can make a live one look as if it had ended. Times are monotonic, in milliseconds.
 */
export class GrantExpiry {
  private readonly clock: Clock;
  private readonly timings: LeaseTimings;
  private inheritedMs: number;
  private endMs: number;

  /** Assumes that the previous daemon process gave a grant just before this one started. */
  public constructor(clock: Clock, timings: LeaseTimings) {
    this.clock = clock;
    this.timings = timings;
    this.inheritedMs = this.endOf(timings.maxGrantMs);
    this.endMs = this.inheritedMs;
  }

  /** End of the grants of the previous daemon process, whose receiver is unknown. */
  public get inheritedEndMs(): number {
    return this.inheritedMs;
  }

  /** Whether no grant is in force any longer. */
  public get hasEnded(): boolean {
    return this.clock.monotonicMs() >= this.endMs;
  }

  /** Notes that the previous daemon process has no grants in force. */
  public noteNothingInherited(): void {
    this.inheritedMs = 0;
  }

  /** Notes a grant that is sent now. */
  public noteGranted(holdMs: number): void {
    this.endMs = Math.max(this.endMs, this.endOf(holdMs));
  }

  private endOf(holdMs: number): number {
    return this.clock.monotonicMs() + holdMs * (1 + this.timings.clockDrift) + MAX_DELIVERY_MS;
  }
}
