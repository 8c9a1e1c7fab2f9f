/** A response that was sent and whose receipt is awaited. */
export interface PendingReceipt {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  readonly expectedBytes: number;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
}
