import type { QueuedWork } from '#overload/QueuedWork.js';

/**
 * Compares two queued requests; negative if `left` runs first. The order is: calls of running work, kinds below their minimum
 * share, priority, requests that can still meet their target latency, deadline.
 */
export function compareUrgency(
  left: QueuedWork,
  right: QueuedWork,
  isOwed: (kind: string) => boolean,
  nowMs: number,
): number {
  if (left.isShort !== right.isShort) return left.isShort ? -1 : 1;
  const isLeftOwed = isOwed(left.kind);
  if (isLeftOwed !== isOwed(right.kind)) return isLeftOwed ? -1 : 1;
  if (left.request.priority !== right.request.priority) return left.request.priority - right.request.priority;
  const isLeftLate = isLate(left, nowMs);
  if (isLeftLate !== isLate(right, nowMs)) return isLeftLate ? 1 : -1;
  return isLeftLate
    ? left.request.dueMs - right.request.dueMs
    : left.request.targetMs - right.request.targetMs;
}

function isLate({ request, serviceMs }: QueuedWork, nowMs: number): boolean {
  return nowMs + serviceMs > request.targetMs;
}
