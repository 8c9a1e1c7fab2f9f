import type { DisplacementFacts } from '#overload/DisplacementFacts.js';
import { mayDisplace } from '#overload/MayDisplace.js';
import type { QueuedWork } from '#overload/QueuedWork.js';

/**
 * Chooses the queued requests that an arrival displaces: those less urgent that were expected to end before they are due and
 * no longer are behind it, and the least urgent one if the queue is too long. `queue` is in order and contains the
 * arrival.
 */
export function chooseDisplaced<T extends QueuedWork>(
  queue: readonly T[],
  arrival: T,
  { maxQueued, nowMs, isOwed, waitMs }: DisplacementFacts<T>,
): readonly T[] {
  const position = queue.indexOf(arrival);
  if (position < 0) return [];
  let aheadMs = queue.slice(0, position + 1).reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  const displaced = new Set<T>();
  for (const each of queue.slice(position + 1)) {
    const endMs = nowMs + waitMs(each, aheadMs) + each.serviceMs;
    const endBeforeMs = nowMs + waitMs(each, aheadMs - arrival.serviceMs) + each.serviceMs;
    const { dueMs } = each.request;
    if (endMs > dueMs && endBeforeMs <= dueMs && mayDisplace(arrival, each, isOwed)) displaced.add(each);
    else aheadMs += each.serviceMs;
  }
  const last = queue.findLast((each) => mayDisplace(arrival, each, isOwed));
  if (displaced.size === 0 && queue.length > maxQueued && last !== undefined) displaced.add(last);
  return [...displaced];
}
