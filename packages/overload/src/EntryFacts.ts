/** What the entry decision has to know about a request. Times are monotonic, in milliseconds. */
export interface EntryFacts {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Time after which the response misses the target latency. */
  readonly targetMs: number;
  /** Whether it is exempt from refusals at the entry: a call of running work, or of a kind below its minimum share. */
  readonly isExempt: boolean;
}
