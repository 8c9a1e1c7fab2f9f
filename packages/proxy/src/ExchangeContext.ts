import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Context of the chart `exchange.json`. */
export interface ExchangeContext {
  /** Attempts dispatched so far. */
  readonly attempt: number;
  /** Fault of the last attempt, while another one is due. */
  readonly lastFault: RouterErrorFields | undefined;
  /** Whether an earlier attempt may have run, so that the refusal of a later one proves nothing about the request. */
  readonly mayHaveRun: boolean;
}
