import type { LoadTestReport } from '#load/LoadTestReport.js';

/** What a run under faults showed. */
export interface FaultRunResult {
  /** Broken rules, one line each; empty if all held. */
  readonly violations: readonly string[];
  readonly report: LoadTestReport;
  readonly orders: number;
  /** Ids of requests that may not be repeated and ran. */
  readonly ids: number;
  /** Highest number of runs of one such id. */
  readonly mostRuns: number;
  /** Attempts after the first that callers sent for such ids. */
  readonly repeats: number;
}
