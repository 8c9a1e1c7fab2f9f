/** Result of one simulated run. Latencies are in milliseconds. */
export interface StragglerResult {
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Fraction of the measured requests that the first server received. */
  readonly firstServerFraction: number;
  /** Fraction of the measured requests that were hedged. */
  readonly hedgedFraction: number;
}
