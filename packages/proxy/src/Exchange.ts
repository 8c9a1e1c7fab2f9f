import type { Cancel } from '#core/Cancel.js';
import type { ArrivedRequest } from '#proxy/ArrivedRequest.js';

/** The unchanging part of one open caller request, from its arrival to the end of its response. */
export interface Exchange extends ArrivedRequest {
  readonly id: string;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly cancelDeadline: Cancel;
}
