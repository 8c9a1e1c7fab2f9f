import type { LoadReport } from '#mesh/LoadReport.js';

/** What a daemon knows of a backend server from the results of its own orders. */
export interface ServerScore {
  readonly load: LoadReport | undefined;
  readonly reportedMs: number;
  /** Orders of this daemon that are under way there. */
  readonly inFlight: number;
  /** Orders sent since the last report. */
  readonly sentSince: number;
  /** Average of failures, between 0 and 1. */
  readonly failure: number;
  readonly failedMs: number;
}
