import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

/**
 * Part of the target latency by which a waiting order is expected to end before its target. A longer queue would make all
 * orders late and serve no more of them.
 */
const RESERVE_PART = 0.2;

/** An order that waits for less than this part of its target latency is taken, even if it may be late. */
const SHORT_WAIT_PART = 0.2;

/** Whether an order with this expected wait should be queued; `dueMs` is when its answer has to be there at the latest. */
export function fitsBeforeTarget(
  { order, serviceMs, isShort }: QueuedBackendRequest,
  waitMs: number,
  dueMs: number,
  nowMs: number,
): boolean {
  const inTimeMs = order.targetMs - order.targetLatencyMs * RESERVE_PART;
  const soonMs = nowMs + serviceMs + order.targetLatencyMs * SHORT_WAIT_PART;
  const limitMs = isShort ? dueMs : Math.min(dueMs, Math.max(inTimeMs, soonMs));
  return nowMs + waitMs + serviceMs <= limitMs;
}
