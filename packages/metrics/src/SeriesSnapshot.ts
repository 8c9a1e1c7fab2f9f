import type { Outcome } from '#delivery/Outcome.js';
import type { Phase } from '#metrics/Phase.js';
import type { PhaseBuckets } from '#metrics/PhaseBuckets.js';

/** Measurements of one team and class. */
export interface SeriesSnapshot {
  readonly team: string;
  readonly class: string;
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  /** Counts for Prometheus; phases without values are left out. */
  readonly buckets: Readonly<Partial<Record<Phase, PhaseBuckets>>>;
  /**
   * Histograms in microseconds, in the compressed V2 format of HdrHistogram as base64. Empty in a snapshot that was
   * taken for Prometheus alone.
   */
  readonly histograms: Readonly<Partial<Record<Phase, string>>>;
}
