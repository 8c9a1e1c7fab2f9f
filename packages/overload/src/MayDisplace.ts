import type { QueuedWork } from '#overload/QueuedWork.js';

/**
 * Whether an arriving request may displace a queued one: a call displaces new work, and a more urgent request a less urgent
 * one. Requests of kinds below their minimum share are displaced only by calls.
 */
export function mayDisplace(
  arrival: QueuedWork,
  queued: QueuedWork,
  isOwed: (kind: string) => boolean,
): boolean {
  if (queued.isShort) return false;
  if (arrival.isShort) return true;
  if (isOwed(queued.kind)) return false;
  return isOwed(arrival.kind) || arrival.request.priority < queued.request.priority;
}
