/** The parsed head of a request, known before its body is read. */
export interface RequestHead {
  /** Unique id that the entry daemon gives to the request. */
  readonly requestId: string;
  readonly method: string;
  readonly service: string;
  /** Path and query for the backend server, starting with `/`. */
  readonly path: string;
  readonly team: string;
  readonly class: string;
  /** Value of `amr-key`; empty without one. */
  readonly key: string;
  /** Time until the deadline, in milliseconds; 0 if the caller set none. */
  readonly deadlineMs: number;
  /** Value of `idempotency-key`; empty without one. */
  readonly idempotencyKey: string;
  /** Value of `amr-epoch`; empty without one. */
  readonly epoch: string;
  /** Length of the body in bytes; -1 if it is chunked. */
  readonly contentLength: number;
  /** End-to-end headers that are forwarded unchanged. */
  readonly headers: Readonly<Record<string, string>>;
}
