/** Constants of the division of fleet-wide limits; they must be equal in the whole fleet. */
export interface QuotaSettings {
  /** Duration of a grant, in milliseconds. */
  readonly grantMs: number;
  /**
   * Duration of a grant for small entries, in milliseconds; shorter, as each unit that an idle daemon holds is missed.
   */
  readonly smallEntryGrantMs?: number;
  /**
   * If present, the holder grants tokens instead of shares of the rate (`QuotaHolder.grantTokens`). The unused tokens at
   * daemons count towards the burst, so a grant lasts no longer than the burst suffices at the rate.
   */
  readonly tokens?: {
    readonly minGrantMs: number;
    /** Duration of a grant, as a fraction of the time in which the rate fills the burst. */
    readonly burstFraction: number;
    /** Tokens with which a holder starts that knows nothing of the tokens granted before. */
    readonly initialTokens: number;
  };
  /** Fraction of each limit that is not granted, but divided evenly among the daemons for use without the holder. */
  readonly reservedFraction: number;
  /** Bound on the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
}
