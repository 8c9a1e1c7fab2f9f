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
   * daemons count towards the burst until the grant ends or the daemon reports their use, so grants have to be short.
   */
  readonly tokens?: {
    readonly minGrantMs: number;
    /** Tokens that may be granted and used without a report; the time in which they accrue is added to `minGrantMs`. */
    readonly unreportedTokens: number;
    /** Tokens with which a holder starts that knows nothing of the tokens granted before. */
    readonly initialTokens: number;
  };
  /** Fraction of each limit that is not granted, but divided evenly among the daemons for use without the holder. */
  readonly reservedFraction: number;
  /** Bound on the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
}
