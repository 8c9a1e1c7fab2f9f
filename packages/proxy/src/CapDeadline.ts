import type { OwnedRequest } from '#proxy/OwnedRequest.js';

/**
 * Returns the deadline that the backend server is given, on the monotonic clock. A backend server that does not check
 * fencing tokens stops work only at the deadline, so for it the deadline is capped at the lease end plus the grace
 * time.
 */
export function capDeadline(
  { request, shardId, graceMs }: OwnedRequest,
  leaseEndMs: number,
  checksToken: boolean,
): number {
  if (shardId === '' || checksToken) return request.deadlineAtMs;
  return Math.min(request.deadlineAtMs, leaseEndMs + graceMs);
}
