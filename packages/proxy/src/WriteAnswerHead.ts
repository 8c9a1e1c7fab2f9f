import type { AnswerHead } from '#proxy/AnswerHead.js';
import type { Exchange } from '#proxy/Exchange.js';

/** Sends the head of an answer to the caller. */
export function writeAnswerHead({ res, checked, id }: Exchange, head: AnswerHead): void {
  res.writeHead(head.status, {
    ...head.headers,
    'amr-server': head.serverId,
    ...(head.owner === '' ? {} : { 'amr-owner': head.owner }),
    ...(head.epoch === '' ? {} : { 'amr-epoch': head.epoch }),
    ...(checked.entry.evidence === 'receipt' ? { 'amr-delivery': `/v1/-/receipts/${id}` } : {}),
  });
}
