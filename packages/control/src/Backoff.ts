import type { RandomSource } from '#core/RandomSource.js';

const FIRST_MS = 100;
const LONGEST_MS = 5_000;

/** Pauses between attempts: doubled with each failure, with jitter. */
export class Backoff {
  private readonly random: RandomSource;
  private failures = 0;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  /** Counts the result of an attempt. */
  public count(failed: boolean): void {
    this.failures = failed ? this.failures + 1 : 0;
  }

  /** Pause before the next attempt, in milliseconds; 0 after a success. */
  public pauseMs(): number {
    if (this.failures === 0) return 0;
    const limitMs = Math.min(LONGEST_MS, FIRST_MS * 2 ** this.failures);
    return limitMs * (0.5 + this.random.fraction() / 2);
  }
}
