/** Result of a closed-loop load; latencies in microseconds. */
export interface LoopResult {
  readonly ratePerSecond: number;
  readonly bad: number;
  readonly p50Us: number;
  readonly p99Us: number;
}
