import type { BackendResponse } from '#mesh/BackendResponse.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

const MISDIRECTED = 421;

/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);

/**
 * Classifies a complete response.
 * - `answer`: the backend server's response to the request.
 * - `shed`, `misdirected`: the request did not run.
 * - `invalid`: must not be forwarded, and the request may have run.
 */
export function classifyResponse(
  response: BackendResponse,
  names: HeaderNames,
): 'answer' | 'shed' | 'misdirected' | 'invalid' {
  const { status, headers } = response;
  const isSuccess = status >= 200 && status < 300;
  // Only this header proves that the request did not run; a status alone may come from an instance that ran it.
  const isNotExecuted = findHeader(headers, names.notExecuted) !== undefined;
  if (isNotExecuted && isSuccess) return 'invalid';
  if (isNotExecuted) return status === MISDIRECTED ? 'misdirected' : 'shed';
  if (NOT_RUN_STATUSES.has(status)) return 'invalid';
  if (findHeader(headers, 'content-encoding') !== undefined) return 'invalid';
  if (isSuccess && findHeader(headers, names.signature) === undefined) return 'invalid';
  return 'answer';
}
