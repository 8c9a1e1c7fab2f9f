import type { ExecutionStatus } from '#core/ExecutionStatus.js';

/** Input of the decision on a retry. Times are monotonic, in milliseconds. */
export interface RetryFacts {
  readonly team: string;
  readonly class: string;
  /** Whether requests of the class may run more than once. */
  readonly repeatable: boolean;
  /** Whether the failed attempt ran, as far as its failure proves it. */
  readonly ran: ExecutionStatus;
  /** Number of attempts so far, at least 1. */
  readonly attempts: number;
  readonly deadlineMs: number;
  /** Expected duration of one attempt. */
  readonly expectedMs: number;
  /** Delay that the refusal asks for. */
  readonly retryAfterMs?: number;
}
