/** Context of the chart of one server of the pool. */
export interface OutlierContext {
  /** Ejections in a row; each doubles the time until the trial. */
  readonly ejections: number;
}
