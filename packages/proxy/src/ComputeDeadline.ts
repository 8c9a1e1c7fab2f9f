import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** Returns the time from the arrival of a request to its deadline, in milliseconds. */
export function computeDeadline(head: RequestHead, { entry: { limits } }: CheckedRequest): number {
  return Math.min(head.deadlineMs > 0 ? head.deadlineMs : limits.defaultDeadlineMs, limits.maxDeadlineMs);
}
