import { encodeAscii } from '#mesh/EncodeAscii.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RelayHead } from '#mesh/RelayHead.js';

/**
 * Encodes a request's result as JSON in printable ASCII, except for the response body, which is sent
 * separately.
 */
export function encodeBackendResult(result: BackendResult): Omit<RelayHead, 'revisions'> {
  const load = result.load === undefined ? [] : encodeLoad(result.load);
  switch (result.type) {
    case 'answered': {
      const { status, headers } = result.response;
      const kind = [result.type, status, headers.map(([name]) => name)];
      return { kind: encodeAscii(kind), detail: encodeAscii([load, headers.map(([, value]) => value)]) };
    }
    case 'refused': {
      const kind = [result.type, result.code, result.arrived ? 1 : 0];
      return { kind: encodeAscii(kind), detail: encodeAscii([load, Math.round(result.retryAfterMs)]) };
    }
    case 'lost':
      return { kind: encodeAscii([result.type, result.code]), detail: encodeAscii([load]) };
  }
}

function encodeLoad({
  running,
  queued,
  slots,
  waitMs,
  serviceMs,
  slowdown,
  leastUrgent,
}: LoadReport): readonly number[] {
  return [
    running,
    queued,
    slots,
    Math.round(waitMs),
    Math.round(serviceMs),
    Math.round(slowdown * 100) / 100,
    ...(leastUrgent === undefined ? [] : [leastUrgent]),
  ];
}
