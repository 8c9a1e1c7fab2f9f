import type { ServerResponse } from 'node:http';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

const MS_PER_SECOND = 1_000;

/** Writes a complete reply to a caller. `closes`: the connection is closed after it. */
export function writeCallerReply(
  res: ServerResponse,
  reply: CallerReply,
  requestId: string,
  names: HeaderNames,
  closes: boolean,
): void {
  const connection = closes ? ['Connection', 'close'] : [];
  res.sendDate = false;
  if (reply.type === 'answer') {
    const { status, headers, body } = reply.response;
    const length = status === 204 || status === 304 ? [] : ['Content-Length', String(body.length)];
    res.writeHead(status, [...headers.flat(), ...length, ...connection]);
    res.end(body);
    return;
  }
  const body = Buffer.from(JSON.stringify({ error: reply.code }));
  const retryAfter =
    reply.retryAfterMs > 0 ? ['Retry-After', (reply.retryAfterMs / MS_PER_SECOND).toFixed(3)] : [];
  res.writeHead(reply.status, [
    names.requestId,
    requestId,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(body.length),
    ...retryAfter,
    ...connection,
  ]);
  res.end(body);
}
