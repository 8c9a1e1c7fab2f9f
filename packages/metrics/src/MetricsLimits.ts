/** Bounds of the label sets that one daemon keeps. */
export interface MetricsLimits {
  /** Tenants with series of their own. */
  readonly tenants: number;
  /** Classes of one tenant with series of their own. */
  readonly classes: number;
}
