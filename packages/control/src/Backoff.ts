import type { RandomSource } from '#core/RandomSource.js';

const DEFAULT_FIRST_DELAY_MS = 200;
const DEFAULT_MAX_DELAY_MS = 5_000;

/** Exponential backoff with jitter: the delay doubles with each consecutive failure. */
export class Backoff {
  private failures = 0;

  public constructor(
    private readonly random: RandomSource,
    private readonly firstDelayMs = DEFAULT_FIRST_DELAY_MS,
    private readonly maxDelayMs = DEFAULT_MAX_DELAY_MS,
  ) {}

  /** Notes the result of an attempt; a success resets the delay. */
  public noteResult(failed: boolean): void {
    this.failures = failed ? this.failures + 1 : 0;
  }

  /** Returns the delay before the next attempt, in milliseconds; 0 after a success. */
  public delayMs(): number {
    if (this.failures === 0) return 0;
    const limitMs = Math.min(this.maxDelayMs, this.firstDelayMs * 2 ** (this.failures - 1));
    return limitMs * (0.5 + this.random.fraction() / 2);
  }
}
