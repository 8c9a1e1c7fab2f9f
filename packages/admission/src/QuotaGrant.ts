/** A part of the limits of an entry that one daemon may use for a short time. */
export interface QuotaGrant {
  readonly entry: string;
  /** Rises with each grant that this daemon gets. */
  readonly number: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly concurrency: number;
  /** Tokens that may be used at once, in addition to those left from the last grant. */
  readonly tokens: number;
  /** `sentMs` of the quota request. The grant expires `sliceMs` after it, on the clock of the daemon that uses it. */
  readonly sentMs: number;
  readonly sliceMs: number;
}
