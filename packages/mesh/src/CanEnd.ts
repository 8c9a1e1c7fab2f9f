import type { BackendRequest } from '#mesh/BackendRequest.js';

/** An order with less time than this part of its expected time is not started. */
const LEAST_PART = 0.5;

/** Whether an order that starts at `startMs` and is expected to take `serviceMs` may end before it is due. */
export function canEnd({ dueMs }: BackendRequest, startMs: number, serviceMs: number): boolean {
  return startMs + serviceMs * LEAST_PART <= dueMs;
}
