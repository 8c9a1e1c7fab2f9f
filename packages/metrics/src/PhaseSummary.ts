/** Mean and percentiles of one phase, in milliseconds. */
export interface PhaseSummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}
