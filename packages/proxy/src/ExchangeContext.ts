import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Context of the chart `exchange.json`. */
export interface ExchangeContext {
  /** Attempts dispatched so far. */
  readonly attempt: number;
  /** Fault of the last attempt, while another one is due. */
  readonly lastFault: RouterErrorFields | undefined;
}
