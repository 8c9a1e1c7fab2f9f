import type { LoadTestReport } from '#load/LoadTestReport.js';

/** Result of a run under faults. */
export interface FaultRunResult {
  /** Broken rules, one line each; empty if every rule held. */
  readonly violations: readonly string[];
  readonly report: LoadTestReport;
  readonly executions: number;
  /** Number of requests that may not be repeated and ran. */
  readonly idempotencyKeys: number;
  /** Highest number of runs of one such request. */
  readonly maxExecutionsPerKey: number;
  /** Attempts after the first that callers sent for such requests. */
  readonly retries: number;
}
