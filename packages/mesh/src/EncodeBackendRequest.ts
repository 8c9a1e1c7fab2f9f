import { encodeAscii } from '#mesh/EncodeAscii.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { ClockReading } from '#mesh/ClockReading.js';
import type { RelayHead } from '#mesh/RelayHead.js';

/**
 * Encodes a request for another daemon as JSON in printable ASCII, except for its body, which is sent
 * separately.
 */
export function encodeBackendRequest(
  backendRequest: BackendRequest,
  now: ClockReading,
): Omit<RelayHead, 'revisions'> {
  const { callerRequest } = backendRequest;
  const kind = [
    callerRequest.method,
    callerRequest.host,
    callerRequest.headers.map(([name]) => name),
    callerRequest.headers.findIndex(([, value]) => value === callerRequest.id),
    callerRequest.hasBody ? 1 : 0,
    backendRequest.service,
    backendRequest.callerService,
    backendRequest.idempotent ? 1 : 0,
    backendRequest.priority,
    backendRequest.targetLatencyMs,
    backendRequest.isCall === true ? 1 : 0,
  ];
  const detail = [
    callerRequest.target,
    callerRequest.key ?? null,
    Math.floor(backendRequest.dueMs - now.monotonicMs),
    Math.floor(backendRequest.targetMs - now.monotonicMs),
    backendRequest.resumes,
    callerRequest.headers.map(([, value]) => (value === callerRequest.host ? 0 : value)),
    backendRequest.copy,
    [Math.floor(now.monotonicMs), Math.floor(now.wallMs)],
  ];
  return { kind: encodeAscii(kind), detail: encodeAscii(detail) };
}
