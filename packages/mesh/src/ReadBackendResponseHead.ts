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

/** Statuses of answers that have no body, whatever their headers say. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads the head of a final answer on a connection that carries `order`. Throws an `AnswerFault` if it cannot be told
 * which order the answer belongs to or where its body ends.
 */
export function readBackendResponseHead(
  status: number,
  rawHeaders: readonly string[],
  order: SentRequest,
  idHeader: string,
): BackendResponseHead {
  const pairs = pairHeaders(rawHeaders);
  const length = findHeader(pairs, 'content-length');
  if (length !== undefined && !/^\d+$/.test(length)) throw new MalformedResponseError('malformed length');
  const encoding = findHeader(pairs, 'transfer-encoding');
  if (encoding !== undefined && (encoding.toLowerCase() !== 'chunked' || length !== undefined))
    throw new MalformedResponseError('malformed framing');
  const hasBody = !order.isHead && !BODILESS.has(status);
  if (hasBody && Number(length) > maxBodyBytes)
    throw new MalformedResponseError(describeBodyFault('tooLarge'));
  const isUnframed = hasBody && length === undefined && encoding === undefined;
  return {
    status,
    headers: pairs.filter(([name]) => !isConnectionHeader(name)),
    isCurrent: matchId(pairs, order.requestId, idHeader),
    hasBody,
    isUnframed,
    keepsAlive: !isUnframed && findHeader(pairs, 'connection')?.toLowerCase() !== 'close',
    idleMs: readIdleMs(findHeader(pairs, 'keep-alive')),
  };
}

/** Whether an answer has the id of the present order. One without an id, or with several, may belong to any order. */
function matchId(pairs: readonly HeaderPair[], requestId: string, idHeader: string): boolean {
  const wanted = idHeader.toLowerCase();
  const ids = new Set(pairs.filter(([name]) => name.toLowerCase() === wanted).map(([, value]) => value));
  if (ids.size !== 1) throw new MalformedResponseError(`answer with ${ids.size} request ids`);
  return ids.has(requestId);
}

function readIdleMs(keepAlive: string | undefined): number | undefined {
  const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}
