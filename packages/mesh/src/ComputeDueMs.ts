import type { Route } from '#routes/Route.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { responseMarginMs } from '#mesh/ResponseMarginMs.js';

/** Subtracted from a route's timeout, so that the response is not late, in milliseconds. */
const TIMEOUT_MARGIN_MS = 5;

/** Deadline of requests without one, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Monotonic time by which a request gets its final reply, in milliseconds. */
export function computeDueMs({ arrivedMs, deadlineMs }: CallerRequest, route: Route): number {
  return Math.min(
    arrivedMs + (deadlineMs ?? DEFAULT_DEADLINE_MS) - responseMarginMs,
    arrivedMs + route.timeoutMs - TIMEOUT_MARGIN_MS,
  );
}
