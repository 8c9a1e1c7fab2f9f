import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** Returns the fields of a request that the queue needs. An exclusive request runs only while no other runs. */
export function createQueuedRequest(request: RoutedRequest, exclusive: boolean): QueuedRequest {
  const { priority, share } = request.entry.limits;
  return {
    id: request.orderId,
    team: request.head.team,
    class: request.head.class,
    priority,
    share,
    deadlineMs: request.deadlineAtMs,
    exclusive,
  };
}
