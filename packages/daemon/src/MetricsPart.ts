import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';

/** Answer to `adminStats`: a part of the series, since a message between daemons holds about 1 MB. */
export interface MetricsPart extends MetricsSnapshot {
  /** Index of the first series of the next part; 0 after the last one. */
  readonly next: number;
}
