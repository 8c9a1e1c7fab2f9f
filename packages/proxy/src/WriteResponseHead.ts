import type { ResponseHead } from '#proxy/ResponseHead.js';
import type { Exchange } from '#proxy/Exchange.js';

/** Sends the head of a response to the caller. */

export function writeResponseHead({ res, checked, id }: Exchange, head: ResponseHead): void {
  res.writeHead(head.status, {
    ...head.headers,
    'amr-server': head.serverId,
    ...(head.owner === '' ? {} : { 'amr-owner': head.owner }),
    ...(head.epoch === '' ? {} : { 'amr-epoch': head.epoch }),
    ...(checked.entry.evidence === 'receipt' ? { 'amr-delivery': `/v1/-/receipts/${id}` } : {}),
  });
}
