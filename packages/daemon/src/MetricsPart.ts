import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';

/** Result of the RPC method `adminStats`: part of the series, because an RPC message is limited to about 1 MB. */
export interface MetricsPart extends MetricsSnapshot {
  /** Index of the first series of the next part; 0 after the last one. */
  readonly next: number;
}
