import type { IncomingMessage } from 'node:http';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import { isConnectionHeader } from '#mesh/IsConnectionHeader.js';
import { pairHeaders } from '#mesh/PairHeaders.js';

/** Reads the head of a request, which has the given body. */
export function readCallerRequest(
  req: IncomingMessage,
  body: Buffer,
  names: HeaderNames,
  arrivedMs: number,
): CallerRequest {
  const pairs = pairHeaders(req.rawHeaders);
  const own = new Set(
    [names.deadlineMs, names.callerService, names.expectedServer].map((name) => name.toLowerCase()),
  );
  return {
    id: findHeader(pairs, names.requestId) ?? '',
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    host: findHeader(pairs, 'host') ?? '',
    headers: pairs.filter(([name]) => !own.has(name.toLowerCase()) && !isConnectionHeader(name)),
    body,
    hasBody: req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined,
    deadlineMs: readCount(findHeader(pairs, names.deadlineMs)),
    key: readCount(findHeader(pairs, names.key)),
    arrivedMs,
  };
}

function readCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+$/.test(text.trim()) ? Number(text) : undefined;
}
