import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { Attempt } from '#proxy/Attempt.js';
import type { Exchange } from '#proxy/Exchange.js';
import type { ExchangeContext } from '#proxy/ExchangeContext.js';

/**
 * State of an open exchange. It is split into parts that change at different times, so that a change copies few fields.
 */
export interface OpenExchange {
  readonly exchange: Exchange;
  readonly snapshot: ChartSnapshot<ExchangeContext>;
  readonly delivery: ChartSnapshot<DeliveryContext>;
  readonly attempt: Attempt;
  /** Whether the receipt task determines the outcome. */
  readonly isReceiptDue: boolean;
  /** Code of the refusal or failure that the caller got; empty for a response of the backend server. */
  readonly code: string;
}
