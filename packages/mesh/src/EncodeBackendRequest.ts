import { encodeAscii } from '#mesh/EncodeAscii.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { RelayHead } from '#mesh/RelayHead.js';

/** Encodes an order's head for another daemon, as JSON of printable ASCII. Its body travels beside it. */
export function encodeBackendRequest(order: BackendRequest, nowMs: number): Omit<RelayHead, 'revisions'> {
  const { request } = order;
  const kind = [
    request.method,
    request.host,
    request.headers.map(([name]) => name),
    request.headers.findIndex(([, value]) => value === request.id),
    request.hasBody ? 1 : 0,
    order.service,
    order.callerService,
    order.idempotent ? 1 : 0,
    order.priority,
    order.targetLatencyMs,
  ];
  const detail = [
    request.target,
    request.key ?? null,
    Math.floor(order.dueMs - nowMs),
    Math.floor(order.targetMs - nowMs),
    order.resumes,
    request.headers.map(([, value]) => (value === request.host ? 0 : value)),
    order.copy,
  ];
  return { kind: encodeAscii(kind), detail: encodeAscii(detail) };
}
