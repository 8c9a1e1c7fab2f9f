import type { Outcome } from '#delivery/Outcome.js';
import type { Phase } from '#metrics/Phase.js';
import type { PhaseBuckets } from '#metrics/PhaseBuckets.js';

/** Read-only metrics of one team and class. */
export interface SeriesSnapshot {
  readonly team: string;
  readonly class: string;
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  /** Prometheus buckets; phases without values are left out. */
  readonly buckets: Readonly<Partial<Record<Phase, PhaseBuckets>>>;
  /**
   * Histograms in microseconds, in the compressed V2 format of HdrHistogram as base64. Empty in snapshots for
   * Prometheus, which uses the buckets only.
   */
  readonly histograms: Readonly<Partial<Record<Phase, string>>>;
}
