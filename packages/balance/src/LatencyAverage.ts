/** Time after which a measurement has lost 1 - 1/e of its weight, in milliseconds. */
const DECAY_MS = 1_000;

/**
 * Moving average of latencies, in milliseconds, that follows a rise at once and a fall slowly (peak-sensitive), and that
 * loses weight with time, so that a server that is not chosen becomes worth a trial again.
 */
export class LatencyAverage {
  private meanMs = 0;
  private updatedMs = -Infinity;

  public add(latencyMs: number, nowMs: number): void {
    const decayed = this.valueMs(nowMs);
    const weight = 1 - Math.exp(-Math.max(0, nowMs - this.updatedMs) / DECAY_MS);
    this.meanMs = latencyMs > decayed ? latencyMs : this.meanMs + weight * (latencyMs - this.meanMs);
    this.updatedMs = nowMs;
  }

  public valueMs(nowMs: number): number {
    return this.meanMs * Math.exp(-Math.max(0, nowMs - this.updatedMs) / (10 * DECAY_MS));
  }
}
