/** Limits on the number of label values of one daemon. */
export interface MetricsLimits {
  /** Most teams with their own series. */
  readonly teams: number;
  /** Most classes of one team with their own series. */
  readonly classes: number;
}
