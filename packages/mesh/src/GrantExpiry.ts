import type { Clock } from '#core/Clock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Time that a grant may be under way to the backend server, in milliseconds. */
const DELIVERY_MS = 200;

/** Until when grants of keys may be in force. Times are monotonic, in milliseconds. */
export class GrantExpiry {
  private readonly clock: Clock;
  private readonly terms: LeaseTimings;
  private inheritedMs: number;
  private endMs: number;

  /** A former run of this daemon may have given grants just before. */
  public constructor(clock: Clock, terms: LeaseTimings) {
    this.clock = clock;
    this.terms = terms;
    this.inheritedMs = this.endOf(terms.maxGrantMs);
    this.endMs = this.inheritedMs;
  }

  /** End of the grants of the former run, whose receiver this run does not know. */
  public get inheritedEndMs(): number {
    return this.inheritedMs;
  }

  /** Whether no grant is in force any more. */
  public get hasEnded(): boolean {
    return this.clock.monotonicMs() >= this.endMs;
  }

  public noteNothingInherited(): void {
    this.inheritedMs = 0;
  }

  public noteGranted(holdMs: number): void {
    this.endMs = Math.max(this.endMs, this.endOf(holdMs));
  }

  /** Notes that the present run of the backend server has ended, and its grants with it. */
  public noteServerEnded(): void {
    // The run that ended may be one that an outdated announcement names; a later run may hold inherited keys.
    this.endMs = Math.max(this.inheritedMs, this.clock.monotonicMs());
  }

  private endOf(holdMs: number): number {
    return this.clock.monotonicMs() + holdMs * (1 + this.terms.clockDrift) + DELIVERY_MS;
  }
}
