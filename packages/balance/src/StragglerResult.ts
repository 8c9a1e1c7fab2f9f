/** Latencies of one simulated run, in milliseconds. */
export interface StragglerResult {
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Part of the measured requests that the first server received. */
  readonly firstServerPart: number;
  /** Part of the measured requests that were hedged. */
  readonly hedgedPart: number;
}
