/** Deadline and length of a response, with which the evidence of its delivery is compared. */
export interface DeliveryFacts {
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of bytes of the response body that were written to the caller. */
  readonly sentBytes: number;
}
