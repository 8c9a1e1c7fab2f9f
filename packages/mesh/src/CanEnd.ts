import type { BackendRequest } from '#mesh/BackendRequest.js';

/** A request is not started if less than this fraction of its expected service time is left. */
const MIN_TIME_FRACTION = 0.5;

/**
 * Whether a request that starts at `startMs` and is expected to take `serviceMs` may still meet its deadline.
 */
export function canEnd({ dueMs }: BackendRequest, startMs: number, serviceMs: number): boolean {
  return startMs + serviceMs * MIN_TIME_FRACTION <= dueMs;
}
