import type { BackendResponseHead } from '#mesh/BackendResponseHead.js';
import { MalformedResponseError } from '#mesh/MalformedResponseError.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import { isConnectionHeader } from '#mesh/IsConnectionHeader.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { pairHeaders } from '#mesh/PairHeaders.js';
import type { SentRequest } from '#mesh/SentRequest.js';

const MS_PER_SECOND = 1_000;

/** Statuses of responses that have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads the head of a final response on a connection that carries `request`. Throws a `MalformedResponseError` if the
 * response cannot be matched to a request, or if the end of its body cannot be determined.
 */
export function readBackendResponseHead(
  status: number,
  rawHeaders: readonly string[],
  request: SentRequest,
  idHeader: string,
): BackendResponseHead {
  const pairs = pairHeaders(rawHeaders);
  const length = findHeader(pairs, 'content-length');
  if (length !== undefined && !/^\d+$/.test(length)) throw new MalformedResponseError('malformed length');
  const encoding = findHeader(pairs, 'transfer-encoding');
  if (encoding !== undefined && (encoding.toLowerCase() !== 'chunked' || length !== undefined))
    throw new MalformedResponseError('malformed framing');
  const hasBody = !request.isHead && !BODILESS_STATUSES.has(status);
  if (hasBody && Number(length) > maxBodyBytes)
    throw new MalformedResponseError(describeBodyFault('tooLarge'));
  const isUnframed = hasBody && length === undefined && encoding === undefined;
  return {
    status,
    headers: pairs.filter(([name]) => !isConnectionHeader(name)),
    isCurrent: hasRequestId(pairs, request.requestId, idHeader),
    hasBody,
    isUnframed,
    keepsAlive: !isUnframed && findHeader(pairs, 'connection')?.toLowerCase() !== 'close',
    idleMs: readIdleMs(findHeader(pairs, 'keep-alive')),
  };
}

/** Whether a response has the id of the current request. A response without an id or with several ids is malformed. */
function hasRequestId(pairs: readonly HeaderPair[], requestId: string, idHeader: string): boolean {
  const wanted = idHeader.toLowerCase();
  const ids = new Set(pairs.filter(([name]) => name.toLowerCase() === wanted).map(([, value]) => value));
  if (ids.size !== 1) throw new MalformedResponseError(`response with ${ids.size} request ids`);
  return ids.has(requestId);
}

function readIdleMs(keepAlive: string | undefined): number | undefined {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}
