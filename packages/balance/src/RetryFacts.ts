import type { ExecutionStatus } from '#core/ExecutionStatus.js';

/** What the decision on a retry depends on. Times are monotonic, in milliseconds. */
export interface RetryFacts {
  readonly team: string;
  readonly class: string;
  /** Whether the class may be repeated. */
  readonly repeatable: boolean;
  /** Whether the failed attempt ran, as proven by the refusal. */
  readonly ran: ExecutionStatus;
  /** Attempts so far, at least 1. */
  readonly attempts: number;
  readonly deadlineMs: number;
  /** Expected duration of one attempt. */
  readonly expectedMs: number;
  /** Advice of the refusal. */
  readonly retryAfterMs?: number;
}
