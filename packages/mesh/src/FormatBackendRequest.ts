import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/** Formats the head of an order for the backend server `instanceId`, which has `leftMs` for it. */
export function formatBackendRequest(
  order: BackendRequest,
  instanceId: string,
  leftMs: number,
  names: HeaderNames,
): string {
  const { request } = order;
  const lines = [
    `${request.method} ${request.target} HTTP/1.1`,
    ...request.headers.map(([name, value]) => `${name}: ${value}`),
    `${names.deadlineMs}: ${Math.max(1, Math.floor(leftMs))}`,
    `${names.expectedServer}: ${instanceId}`,
    `${names.callerService}: ${order.callerService}`,
    ...(request.hasBody ? [`Content-Length: ${request.body.length}`] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
