import type { IncomingHttpHeaders } from 'node:http2';

/**
 * Reads the body length from the headers of a message between daemons, in bytes; undefined if an older daemon sent it.
 * `node:http2` reports a truncated stream as ended, so only the length shows whether the body is complete.
 */
export function readBodyLength(headers: IncomingHttpHeaders): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}
