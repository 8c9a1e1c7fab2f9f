import type { RequestHead } from '#proxy/RequestHead.js';

/** Joins the fields of a forwarded request head that its signature covers. */
export function formatHopFields(from: string, to: string, head: RequestHead): string {
  return [
    from,
    to,
    head.requestId,
    head.method,
    head.service,
    head.path,
    head.team,
    head.class,
    head.key,
    head.deadlineMs,
    head.idempotencyKey,
    head.epoch,
    head.contentLength,
  ].join('\n');
}
