/** Bounds of the label sets that one daemon keeps. */
export interface MetricsLimits {
  /** Teams with series of their own. */
  readonly teams: number;
  /** Classes of one team with series of their own. */
  readonly classes: number;
}
