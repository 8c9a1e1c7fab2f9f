/** Record of one non-repeatable request, kept by the owner of its shard. */
export interface IdempotencyRecord {
  readonly team: string;
  /** Value of the header `idempotency-key`. */
  readonly id: string;
  /** Number of the admission window in which the request was admitted. */
  readonly window: number;
  /** SHA-256 of the request body, in hex; empty until the body was read to its end. */
  readonly bodyHash: string;
  /** `running` until the request ends; then `answered`, or `unknown` if no complete response came. */
  readonly state: 'running' | 'answered' | 'unknown';
  /** HTTP status of the response; 0 without one. */
  readonly status: number;
  /** Content type of the response. */
  readonly contentType: string;
  /** Body of the response in base64; empty if it was too long to be recorded. */
  readonly answer: string;
  /** Whether `answer` holds the whole body of the response. */
  readonly complete: boolean;
}
