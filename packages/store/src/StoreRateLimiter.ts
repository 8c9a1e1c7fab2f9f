import type { Clock } from '#core/Clock.js';

/** Token bucket: tokens accrue at a fixed rate up to a limit. */
export class StoreRateLimiter {
  private readonly clock: Clock;
  private readonly ratePerSecond: number;
  private readonly limit: number;
  private tokens: number;
  private countedAtMs: number;

  public constructor(clock: Clock, ratePerSecond: number, limit: number) {
    this.clock = clock;
    this.ratePerSecond = ratePerSecond;
    this.limit = limit;
    this.tokens = limit;
    this.countedAtMs = clock.monotonicMs();
  }

  /** Whether one token can be taken with at least `reserve` tokens left. */
  public has(reserve: number): boolean {
    this.accrue();
    return this.tokens >= 1 + reserve;
  }

  /** Takes one token; returns false and takes none if fewer than `reserve` would be left. */
  public take(reserve = 0): boolean {
    if (!this.has(reserve)) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds `count` tokens, up to the limit. */
  public add(count: number): void {
    this.tokens = Math.min(this.limit, this.tokens + count);
  }

  private accrue(): void {
    const nowMs = this.clock.monotonicMs();
    this.add(((nowMs - this.countedAtMs) / 1_000) * this.ratePerSecond);
    this.countedAtMs = nowMs;
  }
}
