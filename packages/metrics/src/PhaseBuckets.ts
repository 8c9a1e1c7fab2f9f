/** Prometheus buckets of one phase, kept beside the histogram so that a scrape need not decode it. */
export interface PhaseBuckets {
  /** Number of values in each bucket of `bucketBoundsMs`, not cumulative, and in the one for greater values. */
  readonly counts: readonly number[];
  /** Sum of all values, in microseconds. */
  readonly sumMicros: number;
}
