import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { AdminReply } from '#admin/AdminReply.js';

/** Sends a response: a string as plain text, any other body as JSON, and the version as `ETag`. */
export function sendReply(res: ServerResponse, { status, body, version }: AdminReply): void {
  const isText = typeof body === 'string';
  const text = isText ? body : JSON.stringify(body);
  const headers: OutgoingHttpHeaders = {
    'content-type': isText ? 'text/plain; version=0.0.4; charset=utf-8' : 'application/json',
    'content-length': Buffer.byteLength(text),
    'cache-control': 'no-store',
    ...(version === undefined ? {} : { etag: `"${version}"` }),
    ...(status === 401 ? { 'www-authenticate': 'Bearer' } : {}),
    // The rest of a body that is too large is not read, so the connection cannot be reused.
    ...(status === 413 ? { connection: 'close' } : {}),
  };
  res.writeHead(status, headers).end(text);
}
