/** Context of the chart `slowStart.json`. */
export interface SlowStartContext {
  readonly slots: number;
  /** Fraction of the slots that may be used, from 1/slots to 1. */
  readonly share: number;
}
