import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/**
 * Formats the head of an HTTP request to the backend server `instanceId`, whose response is due in `leftMs`.
 */
export function formatBackendRequest(
  backendRequest: BackendRequest,
  instanceId: string,
  leftMs: number,
  names: HeaderNames,
): string {
  const { callerRequest } = backendRequest;
  const lines = [
    `${callerRequest.method} ${callerRequest.target} HTTP/1.1`,
    ...callerRequest.headers.map(([name, value]) => `${name}: ${value}`),
    `${names.deadlineMs}: ${Math.max(1, Math.floor(leftMs))}`,
    `${names.expectedServer}: ${instanceId}`,
    `${names.callerService}: ${backendRequest.callerService}`,
    ...(callerRequest.hasBody ? [`Content-Length: ${callerRequest.body.length}`] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
