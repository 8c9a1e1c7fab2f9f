/** Context of the chart of one server of the pool. */
export interface OutlierContext {
  /** Number of consecutive ejections; each doubles the time until the next trial. */
  readonly ejections: number;
}
