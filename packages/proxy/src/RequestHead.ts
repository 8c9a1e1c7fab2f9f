/** The parts of a request that are known before its body is read. */
export interface RequestHead {
  /** Unique id that the entry daemon gives to the request. */
  readonly requestId: string;
  readonly method: string;
  readonly service: string;
  /** Path and query for the backend server, starting with `/`. */
  readonly path: string;
  readonly team: string;
  readonly class: string;
  /** Key of the request; empty without one. */
  readonly key: string;
  /** Time that remains until the deadline, in milliseconds; 0 if the caller named none. */
  readonly deadlineMs: number;
  /** Value of `idempotency-key`; empty without one. */
  readonly idempotencyKey: string;
  /** Value of `amr-epoch`; empty without one. */
  readonly epoch: string;
  /** Length of the body in bytes; -1 if it is chunked. */
  readonly contentLength: number;
  /** End-to-end headers that are passed on unchanged. */
  readonly headers: Readonly<Record<string, string>>;
}
