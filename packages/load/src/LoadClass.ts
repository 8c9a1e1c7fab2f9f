/** One part of the request mix. */
export interface LoadClass {
  readonly team: string;
  readonly class: string;
  readonly service: string;
  /** Share of the mix relative to the other parts. */
  readonly weight: number;
  /** Whether requests carry a key. */
  readonly keyed: boolean;
  /** Requests that may not be repeated carry `idempotency-key` and `amr-epoch`. */
  readonly repeatable: boolean;
  /** Deadline of a request, counted from its intended send time, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether responses are confirmed with a receipt. */
  readonly confirms: boolean;
  /** Repeats after a refusal that says `not run`, or after a lost connection; the first 428 does not count. */
  readonly maxRepeats: number;
  /** Whether the same id is sent again after an answer that does not tell whether the request ran. */
  readonly repeatsUnknown?: boolean;
}
