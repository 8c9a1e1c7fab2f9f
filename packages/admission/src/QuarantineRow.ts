/** A request with crash marks, as shown to operators. */
export interface QuarantineRow {
  readonly fingerprint: string;
  /** State of the chart: `marked` or `held`. */
  readonly state: string;
  /** Crashes whose marks are not cleared, as `CrashMark.death`. */
  readonly deaths: readonly string[];
  /** Time of the first mark at this daemon, on the monotonic clock in milliseconds. */
  readonly sinceMs: number;
}
