/** What the evidence of a delivery is compared with. */
export interface DeliveryFacts {
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
  /** Bytes of the response body that were written to the caller. */
  readonly sentBytes: number;
}
