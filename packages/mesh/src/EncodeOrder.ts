import { encodeAscii } from '#mesh/EncodeAscii.js';
import type { Order } from '#mesh/Order.js';

/** Encodes an order's head for another daemon, as JSON of printable ASCII. Its body travels beside it. */
export function encodeOrder(order: Order, nowMs: number): string {
  const { request } = order;
  const fields = [
    request.id,
    request.method,
    request.target,
    request.host,
    request.headers,
    request.hasBody ? 1 : 0,
    request.key ?? null,
    order.service,
    order.callerService,
    order.idempotent ? 1 : 0,
    order.priority,
    order.targetLatencyMs,
    Math.floor(order.dueMs - nowMs),
    order.isCall ? 1 : 0,
    order.resumes,
  ];
  return encodeAscii(fields);
}
