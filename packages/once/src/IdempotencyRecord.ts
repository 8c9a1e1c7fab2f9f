/** What an owner remembers of one request that may not be repeated. */
export interface IdempotencyRecord {
  readonly team: string;
  /** Value of the header `idempotency-key`. */
  readonly id: string;
  /** Admission window in which the request was admitted. */
  readonly window: number;
  /** SHA-256 of the request body, in hex. */
  readonly bodyHash: string;
  /** `running` until the backend server answered; `unknown` if no complete answer came. */
  readonly state: 'running' | 'answered' | 'unknown';
  /** HTTP status of the answer; 0 without one. */
  readonly status: number;
  /** Content type of the answer. */
  readonly contentType: string;
  /** Body of the answer in base64; empty if it exceeded the size that is kept. */
  readonly answer: string;
  /** Whether `answer` holds the whole body. */
  readonly complete: boolean;
}
