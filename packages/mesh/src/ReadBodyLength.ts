import type { IncomingHttpHeaders } from 'node:http2';

/**
 * Length of the body that a message between daemons announces, in bytes; undefined if an older daemon sent it. The
 * library reports a stream that was cut off as ended, so the length tells whether the body is whole.
 */
export function readBodyLength(headers: IncomingHttpHeaders): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}
