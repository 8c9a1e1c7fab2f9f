/** What the decision on a hedging request depends on. Times are monotonic, in milliseconds. */
export interface HedgeFacts {
  readonly team: string;
  readonly class: string;
  /** Whether the class may be repeated. */
  readonly repeatable: boolean;
  /** Time at which the first attempt was sent. */
  readonly sentMs: number;
  readonly deadlineMs: number;
  /** 95th percentile of the latency of the class; undefined until enough answers were measured. */
  readonly p95Ms: number | undefined;
  /** Hedging requests already sent for this request. */
  readonly hedges: number;
}
