/** A response that was sent and for which a receipt of the caller is awaited. */
export interface PendingReceipt {
  readonly id: string;
  readonly team: string;
  readonly class: string;
  readonly expectedBytes: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
}
