import type { ServerResponse } from 'node:http';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { formatRefusal } from '#proxy/FormatRefusal.js';

/** Sends a refusal or failure as JSON; a response whose head was already sent is cut off instead. */
export function writeRefusal(res: ServerResponse, fields: RouterErrorFields): void {
  if (res.headersSent) {
    breakOff(res);
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

/** Cuts off a response. Without chunks, as in HTTP/1.0, its end would look like that of a whole one; a reset does not. */
function breakOff(res: ServerResponse): void {
  if (res.req.httpVersion === '1.0') res.socket?.resetAndDestroy();
  res.destroy();
}
