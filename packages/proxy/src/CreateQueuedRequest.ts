import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** Returns what the queue needs to know of an order; an exclusive one runs alone. */
export function createQueuedRequest(order: RoutedRequest, exclusive: boolean): QueuedRequest {
  const { priority, share } = order.entry.limits;
  return {
    id: order.orderId,
    team: order.head.team,
    class: order.head.class,
    priority,
    share,
    deadlineMs: order.deadlineAtMs,
    exclusive,
  };
}
