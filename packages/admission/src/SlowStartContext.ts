/** Context of the chart of a slow start. */
export interface SlowStartContext {
  readonly slots: number;
  /** Part of the slots that may be used, from 1/slots to 1. */
  readonly share: number;
}
