/** Constants of the division of fleet-wide limits; they must be equal in the whole fleet. */
export interface QuotaSettings {
  /** Duration of a grant, in milliseconds. */
  readonly grantMs: number;
  /**
   * Duration of a grant for small entries, in milliseconds; shorter, as each unit that an idle daemon holds is missed.
   */
  readonly smallEntryGrantMs?: number;
  /** Fraction of each limit that is not granted, but divided evenly among the daemons for use without the holder. */
  readonly reservedFraction: number;
  /** Bound on the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
}
