/**
 * Time constant of the average. Tokens are obtained ahead of need only for demand that lasts, since a daemon that
 * requests reach by turns would hold them in vain.
 */
const AVERAGE_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Measures the requests per second of one tenant as an exponential average. */
export class DemandMeter {
  private average = 0;
  private lastMs = -Infinity;

  /** Notes one request. */
  public note(nowMs: number): void {
    this.average = this.ratePerSecond(nowMs) + MS_PER_SECOND / AVERAGE_MS;
    this.lastMs = nowMs;
  }

  public ratePerSecond(nowMs: number): number {
    return this.average * Math.exp((this.lastMs - nowMs) / AVERAGE_MS);
  }
}
