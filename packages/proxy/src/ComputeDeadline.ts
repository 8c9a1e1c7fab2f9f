import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** Time from the arrival of a request until its deadline, in milliseconds. */
export function computeDeadline(head: RequestHead, { entry: { limits } }: CheckedRequest): number {
  return Math.min(head.deadlineMs > 0 ? head.deadlineMs : limits.defaultDeadlineMs, limits.maxDeadlineMs);
}
