/** Part of all orders that a target latency must have to count as usual. */
const USUAL_PART = 0.05;

/** Part of the longest usual target latency up to which an order is short. */
const SHORT_PART = 0.45;

/** Orders after which all counts are halved, so that old ones fade. */
const HALVE_AFTER = 400;

/**
 * Tells short orders, such as calls between services, by their target latency compared to the others of the service. A
 * service whose slots are all taken by orders that wait for calls would otherwise wait for itself.
 */
export class ShortKinds {
  private counts: ReadonlyMap<number, number> = new Map();
  private total = 0;
  private longestMs = 0;

  /** Counts an order and tells whether it is short. */
  public note(targetLatencyMs: number): boolean {
    this.counts = new Map(this.counts).set(targetLatencyMs, (this.counts.get(targetLatencyMs) ?? 0) + 1);
    this.total += 1;
    if (this.total >= HALVE_AFTER) this.halve();
    const usual = [...this.counts].filter(([, count]) => count >= this.total * USUAL_PART);
    this.longestMs = Math.max(...usual.map(([each]) => each));
    return targetLatencyMs <= this.longestMs * SHORT_PART;
  }

  private halve(): void {
    this.counts = new Map([...this.counts].map(([each, count]) => [each, count / 2]));
    this.total /= 2;
  }
}
