import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { Order } from '#proxy/Order.js';

/** Returns what the queue needs to know of an order; an exclusive one runs alone. */
export function createQueuedRequest(order: Order, exclusive: boolean): QueuedRequest {
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
