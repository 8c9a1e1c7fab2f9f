/** A short-lived part of the limits of an entry, for one daemon. */
export interface QuotaGrant {
  readonly entry: string;
  /** Rises with each slice that a holder gives to this daemon. */
  readonly number: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly concurrency: number;
  /** Tokens that may be used at once, beside those left of the last slice. */
  readonly tokens: number;
  /** `sentMs` of the ask. The slice ends `sliceMs` after it, on the clock of the daemon. */
  readonly sentMs: number;
  readonly sliceMs: number;
}
