import type { ExecutionStatus } from '#core/ExecutionStatus.js';

/** What one attempt returned. */
export interface CallResponse {
  /** HTTP status; 0 if the connection was lost or the time was up. */
  readonly status: number;
  readonly ran: ExecutionStatus;
  /** Value of `amr-epoch`; empty without one. */
  readonly epoch: string;
  /** Value of `amr-owner`; empty without one. */
  readonly owner: string;
  /** Value of `amr-delivery`; empty without one. */
  readonly delivery: string;
  /** Time after which a repeat is reasonable, in milliseconds. */
  readonly retryAfterMs: number;
  /** Addresses (`host:port`) that can serve the request, from a refusal. */
  readonly at: readonly string[];
  readonly body: Buffer;
}
