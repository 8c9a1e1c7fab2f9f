/** Number of latest samples that are kept. */
const MAX_SAMPLES = 200;

/** With fewer samples, a high percentile would only be the slowest of a few. */
const MIN_SAMPLES = 20;

/** Number of new samples after which the samples are sorted again. */
const SORT_INTERVAL = 10;

/** The latest latencies of one kind of request, in milliseconds. */
export class LatencyWindow {
  private readonly samples = new Float64Array(MAX_SAMPLES);
  private count = 0;
  private sorted = new Float64Array(0);
  private sortedAt = 0;

  public add(latencyMs: number): void {
    this.samples[this.count % MAX_SAMPLES] = latencyMs;
    this.count += 1;
  }

  /** Returns a percentile between 0 and 100; undefined until there are enough samples. */
  public percentile(percent: number): number | undefined {
    if (this.count < MIN_SAMPLES) return undefined;
    const sorted = this.sort();
    return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))];
  }

  /** Returns the mean time that requests which took longer than `elapsedMs` needed beyond it; 0 if none did. */
  public meanRestMs(elapsedMs: number): number {
    const longer = this.sort().filter((each) => each > elapsedMs);
    if (longer.length === 0) return 0;
    return longer.reduce((sum, each) => sum + each - elapsedMs, 0) / longer.length;
  }

  private sort(): Float64Array {
    if (this.sorted.length === 0 || this.count - this.sortedAt >= SORT_INTERVAL) {
      this.sorted = this.samples.slice(0, Math.min(this.count, MAX_SAMPLES)).sort();
      this.sortedAt = this.count;
    }
    return this.sorted;
  }
}
