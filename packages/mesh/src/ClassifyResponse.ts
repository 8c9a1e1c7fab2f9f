import type { BackendResponse } from '#mesh/BackendResponse.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

const MISDIRECTED = 421;

/** Statuses that promise a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);

/**
 * Tells what a complete answer means.
 * - `answer`: it is the backend server's answer to the order.
 * - `shed`, `misdirected`: the order did not run.
 * - `invalid`: it is not to be passed on, and the order may have run.
 */
export function classifyResponse(
  answer: BackendResponse,
  names: HeaderNames,
): 'answer' | 'shed' | 'misdirected' | 'invalid' {
  const { status, headers } = answer;
  const isSuccess = status >= 200 && status < 300;
  // Only this header says so; a status alone may come from an instance that ran the order.
  const isNotExecuted = findHeader(headers, names.notExecuted) !== undefined;
  if (isNotExecuted && isSuccess) return 'invalid';
  if (isNotExecuted) return status === MISDIRECTED ? 'misdirected' : 'shed';
  if (NOT_RUN_STATUSES.has(status)) return 'invalid';
  if (findHeader(headers, 'content-encoding') !== undefined) return 'invalid';
  if (isSuccess && findHeader(headers, names.signature) === undefined) return 'invalid';
  return 'answer';
}
