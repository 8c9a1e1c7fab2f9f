import type { LoadReport } from '#balance/LoadReport.js';

/** Statistics of a backend server, from the results of the requests that this daemon sent to it. */
export interface ServerScore {
  readonly load: LoadReport | undefined;
  /** Monotonic time of the last load report, in milliseconds. */
  readonly reportedMs: number;
  /** Number of requests of this daemon in flight at the server. */
  readonly inFlight: number;
  /** Number of requests sent since the last load report. */
  readonly sentSinceReport: number;
  /** Moving average of failures, between 0 and 1. */
  readonly failureRate: number;
  /** Monotonic time at which the failure rate was last updated, in milliseconds. */
  readonly failureUpdatedMs: number;
}
