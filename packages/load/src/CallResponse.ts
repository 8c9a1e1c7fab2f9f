import type { ExecutionStatus } from '#core/ExecutionStatus.js';

/** Response to one attempt. */
export interface CallResponse {
  /** HTTP status; 0 if the connection was lost or the attempt timed out. */
  readonly status: number;
  readonly ran: ExecutionStatus;
  /** Value of `amr-epoch`; empty if the header is absent. */
  readonly epoch: string;
  /** Value of `amr-owner`; empty if the header is absent. */
  readonly owner: string;
  /** Value of `amr-delivery`; empty if the header is absent. */
  readonly delivery: string;
  /** Delay before a retry, in milliseconds. */
  readonly retryAfterMs: number;
  /** Addresses (`host:port`) that a refusal names as able to serve the request. */
  readonly alternatives: readonly string[];
  readonly body: Buffer;
}
