/** Counts of one phase for Prometheus, which needs no decoding of the histogram. */
export interface PhaseBuckets {
  /** Values per bucket, not cumulative: one for each of `bucketBoundsMs`, and one for all greater values. */
  readonly counts: readonly number[];
  /** Sum of all values, in microseconds. */
  readonly sumMicros: number;
}
