import type { RandomSource } from '#core/RandomSource.js';

/** Limits of the first and of the longest pause; a caller may set others. */
const FIRST_MS = 200;
const LONGEST_MS = 5_000;

/** Pauses between attempts: doubled with each failure, with jitter. */
export class Backoff {
  private failures = 0;

  public constructor(
    private readonly random: RandomSource,
    private readonly firstMs = FIRST_MS,
    private readonly longestMs = LONGEST_MS,
  ) {}

  /** Counts the result of an attempt. */
  public count(failed: boolean): void {
    this.failures = failed ? this.failures + 1 : 0;
  }

  /** Pause before the next attempt, in milliseconds; 0 after a success. */
  public pauseMs(): number {
    if (this.failures === 0) return 0;
    const limitMs = Math.min(this.longestMs, this.firstMs * 2 ** (this.failures - 1));
    return limitMs * (0.5 + this.random.fraction() / 2);
  }
}
