import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

/**
 * Fraction of the target latency by which a queued request has to be expected to finish early. A longer queue would make
 * all requests late without serving more of them.
 */
const RESERVE_FRACTION = 0.2;

/**
 * A request that waits for less than this fraction of its target latency is queued even if it may miss the
 * target.
 */
const SHORT_WAIT_FRACTION = 0.2;

/** Whether a request with this expected wait should be queued. `dueMs` is the latest time for its response. */
export function fitsBeforeTarget(
  { request, serviceMs, isShort }: QueuedBackendRequest,
  waitMs: number,
  dueMs: number,
  nowMs: number,
): boolean {
  const inTimeMs = request.targetMs - request.targetLatencyMs * RESERVE_FRACTION;
  const soonMs = nowMs + serviceMs + request.targetLatencyMs * SHORT_WAIT_FRACTION;
  const limitMs = isShort ? dueMs : Math.min(dueMs, Math.max(inTimeMs, soonMs));
  return nowMs + waitMs + serviceMs <= limitMs;
}
