/** A request with marks, as shown to operators. */
export interface QuarantineRow {
  readonly fingerprint: string;
  /** State of the chart: `marked` or `held`. */
  readonly state: string;
  /** Deaths of backend servers that are counted against the request. */
  readonly deaths: readonly string[];
  /** Monotonic time of the first mark at this daemon, in milliseconds. */
  readonly sinceMs: number;
}
