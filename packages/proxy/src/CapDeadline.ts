import type { OwnedRequest } from '#proxy/OwnedRequest.js';

/**
 * Returns the deadline of an order for the backend server, on the monotonic clock. A backend server that does not check
 * grants stops by itself at the deadline, so that is capped at the lease end.
 */
export function capDeadline(
  { order, shardId, graceMs }: OwnedRequest,
  leaseEndMs: number,
  checksToken: boolean,
): number {
  if (shardId === '' || checksToken) return order.deadlineAtMs;
  return Math.min(order.deadlineAtMs, leaseEndMs + graceMs);
}
