/** Fraction of all requests that must have a target latency for it to count as usual. */
const USUAL_FRACTION = 0.05;

/** Fraction of the longest usual target latency up to which a request is short. */
const SHORT_FRACTION = 0.45;

/** Number of requests after which all counts are halved, so that old requests lose weight. */
const HALVE_AFTER = 400;

/**
 * Classifies requests as short, such as calls between services, by comparing their target latency with that of the other
 * requests of the service. Short requests get a reserved slot: a service whose slots are all taken by requests that wait
 * for calls to the same service would otherwise be in a deadlock.
 */
export class ShortRequestClassifier {
  private counts: ReadonlyMap<number, number> = new Map();
  private total = 0;
  private longestMs = 0;

  /** Counts a request and returns whether it is short. */
  public note(targetLatencyMs: number): boolean {
    this.counts = new Map(this.counts).set(targetLatencyMs, (this.counts.get(targetLatencyMs) ?? 0) + 1);
    this.total += 1;
    if (this.total >= HALVE_AFTER) this.halve();
    const usual = [...this.counts].filter(([, count]) => count >= this.total * USUAL_FRACTION);
    this.longestMs = Math.max(...usual.map(([each]) => each));
    return targetLatencyMs <= this.longestMs * SHORT_FRACTION;
  }

  private halve(): void {
    this.counts = new Map([...this.counts].map(([each, count]) => [each, count / 2]));
    this.total /= 2;
  }
}
