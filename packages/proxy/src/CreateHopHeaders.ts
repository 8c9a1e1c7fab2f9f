import type { RequestHead } from '#proxy/RequestHead.js';

/** Creates the headers of a request that is forwarded to another daemon, except for the signature. */
export function createHopHeaders(from: string, head: RequestHead): Readonly<Record<string, string>> {
  return {
    ...head.headers,
    'amr-hop-from': from,
    'amr-request-id': head.requestId,
    'amr-team': head.team,
    'amr-class': head.class,
    ...(head.key === '' ? {} : { 'amr-key': head.key }),
    'amr-deadline-ms': String(head.deadlineMs),
    ...(head.idempotencyKey === '' ? {} : { 'idempotency-key': head.idempotencyKey }),
    ...(head.epoch === '' ? {} : { 'amr-epoch': head.epoch }),
  };
}
