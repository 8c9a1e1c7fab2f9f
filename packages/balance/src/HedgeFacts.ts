/** Input of the decision on a hedging request. Times are monotonic, in milliseconds. */
export interface HedgeFacts {
  readonly team: string;
  readonly class: string;
  /** Whether requests of the class may run more than once. */
  readonly repeatable: boolean;
  /** Time at which the first attempt was sent. */
  readonly sentMs: number;
  readonly deadlineMs: number;
  /** 95th percentile of the latency of the class; undefined until enough responses were measured. */
  readonly p95Ms: number | undefined;
  /** Number of hedging requests already sent for this request. */
  readonly hedges: number;
}
