import type { Histogram } from 'hdr-histogram-js';
import type { CallOutcome } from '#load/CallOutcome.js';

/** Outcomes and latencies of a load run. */
export interface LoadTestReport {
  readonly seed: number;
  readonly sent: number;
  /** Requests that were not sent because too many were in flight. */
  readonly skipped: number;
  /** Requests still in flight when the run was ended. */
  readonly unfinished: number;
  readonly durationMs: number;
  readonly receipts: { readonly accepted: number; readonly refused: number };
  /** Outcomes by `team/class`. */
  readonly outcomes: ReadonlyMap<string, Readonly<Record<CallOutcome, number>>>;
  /** Time from the intended send to the end of each correct response, in microseconds, by `team/class`. */
  readonly latencies: ReadonlyMap<string, Histogram>;
}
