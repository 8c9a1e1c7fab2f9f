import type { IncomingHttpHeaders } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { RequestHead } from '#proxy/RequestHead.js';

const PATH_PATTERN = /^\/v1\/([a-z][a-z0-9-]{0,62})(\/[^\s#]*)?$/;
const NAME_PATTERN = /^[A-Za-z][A-Za-z0-9._-]{0,62}$/;
const MAX_KEY_LENGTH = 512;
const ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;
const LENGTH_PATTERN = /^[0-9]{1,15}$/;
const PASSED_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'content-encoding',
  'if-match',
  'if-none-match',
];

/** Parses the method, URL and headers of a request; the error is a refusal with status 400. */
export function parseRequestHead(
  requestId: string,
  method: string,
  url: string,
  headers: IncomingHttpHeaders,
): Either<RouterErrorFields, RequestHead> {
  const match = PATH_PATTERN.exec(url);
  if (match === null) return Left(createFault('badPath'));
  const text = (name: string): string => readHeader(headers, name);
  const fault = findFault(headers, text);
  if (fault !== undefined) return Left(createFault(fault));
  return Right({
    requestId,
    method,
    service: match[1] ?? '',
    path: match[2] ?? '/',
    team: text('amr-team'),
    class: text('amr-class'),
    key: text('amr-key'),
    deadlineMs: Number(text('amr-deadline-ms') || '0'),
    idempotencyKey: text('idempotency-key'),
    epoch: text('amr-epoch'),
    contentLength: readLength(headers),
    headers: selectHeaders(headers),
  });
}

function findFault(headers: IncomingHttpHeaders, text: (name: string) => string): string | undefined {
  if (!NAME_PATTERN.test(text('amr-team'))) return 'badTeam';
  if (!NAME_PATTERN.test(text('amr-class'))) return 'badClass';
  if (text('amr-key').length > MAX_KEY_LENGTH) return 'badKey';
  const deadline = text('amr-deadline-ms');
  if (deadline !== '' && !DEADLINE_PATTERN.test(deadline)) return 'badDeadline';
  const id = text('idempotency-key');
  if (id !== '' && !ID_PATTERN.test(id)) return 'badIdempotencyKey';
  const length = headers['content-length'];
  if (length !== undefined && !LENGTH_PATTERN.test(length)) return 'badLength';
  // Two servers can disagree on the end of a message that has both a length and a transfer coding (request smuggling).
  if (length !== undefined && headers['transfer-encoding'] !== undefined) return 'ambiguousLength';
  return undefined;
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function readLength(headers: IncomingHttpHeaders): number {
  if (headers['transfer-encoding'] !== undefined) return -1;
  return Number(headers['content-length'] ?? '0');
}

function selectHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const selected: Record<string, string> = {};
  for (const name of PASSED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') selected[name] = value;
  }
  return selected;
}

function createFault(code: string): RouterErrorFields {
  return { code, step: 'parse', peer: 'caller', ran: 'not run', status: 400 };
}
