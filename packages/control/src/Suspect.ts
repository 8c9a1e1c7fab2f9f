import type { SuspectReport } from '#control/SuspectReport.js';

/** A report of a silent member, with the monotonic time of its arrival in milliseconds. */
export interface Suspect extends SuspectReport {
  readonly atMs: number;
}
