import type { Cancel } from '#core/Cancel.js';
import type { ArrivedRequest } from '#proxy/ArrivedRequest.js';

/** What stays the same of one request of a caller while it is open. */
export interface Exchange extends ArrivedRequest {
  readonly id: string;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly cancelDeadline: Cancel;
}
