/** A class of requests in the mix of a load. */
export interface LoadClass {
  readonly team: string;
  readonly class: string;
  readonly service: string;
  /** Share of the mix relative to the other classes. */
  readonly weight: number;
  /** Whether requests carry a key. */
  readonly keyed: boolean;
  /** Whether requests may be repeated; the others carry `idempotency-key` and `amr-epoch`. */
  readonly repeatable: boolean;
  /** Deadline of a request, counted from its intended send time, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether responses are confirmed with a receipt. */
  readonly sendsReceipts: boolean;
  /** Retries after a refusal that says `not run`, or after a lost connection; the first 428 does not count. */
  readonly maxRetries: number;
  /** Whether a request is retried with the same id after a response that leaves open whether it ran. */
  readonly retriesUnknown?: boolean;
}
