import { ReceiptEvidence } from '#delivery/ReceiptEvidence.js';
import { SentEvidence } from '#delivery/SentEvidence.js';
import { startDelivery } from '#delivery/StartDelivery.js';
import type { Exchange } from '#proxy/Exchange.js';
import { exchangeChart } from '#proxy/ExchangeChart.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

const FIRST_SNAPSHOT = {
  value: exchangeChart.initial,
  context: { attempt: 0, lastFault: undefined, mayHaveRun: false },
};
const SENT_EVIDENCE = new SentEvidence();
const RECEIPT_EVIDENCE = new ReceiptEvidence();
const NO_SERVERS: ReadonlySet<string> = new Set();

/** Returns the initial state of an exchange. */
export function startExchange(exchange: Exchange): OpenExchange {
  const { evidence, repeatable } = exchange.checked.entry;
  const proof = evidence === 'receipt' ? RECEIPT_EVIDENCE : SENT_EVIDENCE;
  const { req: body, startedMs } = exchange;
  return {
    exchange,
    snapshot: FIRST_SNAPSHOT,
    delivery: startDelivery(proof, exchange.deadlineAtMs, repeatable),
    attempt: { body, target: undefined, tried: NO_SERVERS, startedMs, pause: undefined },
    isReceiptDue: false,
    code: '',
  };
}
