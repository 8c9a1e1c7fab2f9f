import type { LoadReport } from '#load/LoadReport.js';

/** What a run under faults showed. */
export interface FaultRunResult {
  /** Broken rules, one line each; empty if all held. */
  readonly violations: readonly string[];
  readonly report: LoadReport;
  readonly orders: number;
}
