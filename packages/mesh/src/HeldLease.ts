/** The lease that this daemon holds. */
export interface HeldLease {
  readonly term: number;
  /** Time of the elapsed clock at which it expires, in milliseconds. */
  readonly untilMs: number;
  /** Era of the store in which it was renewed. */
  readonly era: number;
}
