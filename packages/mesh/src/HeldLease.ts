/** The lease of this daemon. */
export interface HeldLease {
  readonly term: number;
  /** Elapsed time until which it lasts, in milliseconds. */
  readonly untilMs: number;
}
