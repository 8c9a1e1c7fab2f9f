import type { CounterName } from '#metrics/CounterName.js';
import type { GaugeName } from '#metrics/GaugeName.js';
import type { SeriesSnapshot } from '#metrics/SeriesSnapshot.js';

/** Metrics of one daemon, or the merged metrics of several, since the start of each process. */
export interface MetricsSnapshot {
  readonly series: readonly SeriesSnapshot[];
  readonly counters: Readonly<Partial<Record<CounterName, number>>>;
  readonly gauges: Readonly<Partial<Record<GaugeName, number>>>;
}
