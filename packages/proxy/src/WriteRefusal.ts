import type { ServerResponse } from 'node:http';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { formatRefusal } from '#proxy/FormatRefusal.js';

/** Sends a refusal or failure as JSON. If the head of a response was already sent, aborts that response instead. */
export function writeRefusal(res: ServerResponse, fields: RouterErrorFields): void {
  if (res.headersSent) {
    abortResponse(res);
    return;
  }
  const body = formatRefusal(fields);
  res.writeHead(fields.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'amr-error': fields.code,
    'amr-ran': fields.ran.replace(' ', '-'),
    ...(fields.epoch === undefined ? {} : { 'amr-epoch': fields.epoch }),
    ...(fields.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(Math.min(fields.retryAfterMs, 60_000) / 1000))) }),
  });
  res.end(body);
}

/**
 * Aborts a response so that the caller notices. In HTTP/1.0 the end of the connection marks the end of a response, so
 * only a reset shows that it is incomplete.
 */
function abortResponse(res: ServerResponse): void {
  if (res.req.httpVersion === '1.0') res.socket?.resetAndDestroy();
  res.destroy();
}
