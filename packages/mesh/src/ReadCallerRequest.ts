import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import { isConnectionHeader } from '#mesh/IsConnectionHeader.js';
import { pairHeaders } from '#mesh/PairHeaders.js';
import { readCredential } from '#mesh/ReadCredential.js';

/** Reads the request of a caller from its head and its body. A request without an id receives a random one. */
export function readCallerRequest(
  req: IncomingMessage,
  body: Buffer,
  names: HeaderNames,
  arrivedMs: number,
): CallerRequest {
  const pairs = ensureSingleId(pairHeaders(req.rawHeaders), names.requestId);
  const routerHeaders = new Set(
    [names.deadlineMs, names.callerService, names.expectedServer].map((name) => name.toLowerCase()),
  );
  return {
    id: findHeader(pairs, names.requestId) ?? '',
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    host: findHeader(pairs, 'host') ?? '',
    headers: pairs.filter(([name]) => !routerHeaders.has(name.toLowerCase()) && !isConnectionHeader(name)),
    body,
    hasBody: req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined,
    deadlineMs: readCount(findHeader(pairs, names.deadlineMs)),
    key: readCount(findHeader(pairs, names.key)),
    credential: readCredential(pairs, names.authorization),
    arrivedMs,
  };
}

/** Reduces the request ids to the first one, or adds one: responses are matched to requests by the id. */
function ensureSingleId(pairs: readonly HeaderPair[], idHeader: string): readonly HeaderPair[] {
  const wanted = idHeader.toLowerCase();
  const given = pairs.filter(([name]) => name.toLowerCase() === wanted);
  if (given.length === 1 && given[0]?.[1] !== '') return pairs;
  const id: HeaderPair = given.find(([, value]) => value !== '') ?? [idHeader, randomUUID()];
  return [...pairs.filter(([name]) => name.toLowerCase() !== wanted), id];
}

function readCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+$/.test(text.trim()) ? Number(text) : undefined;
}
