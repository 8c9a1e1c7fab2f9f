import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Context of the chart `exchange.json`: the attempts of one caller request. */
export interface ExchangeContext {
  /** Number of attempts dispatched so far. */
  readonly attempt: number;
  /** Error of the last attempt, while a retry is pending. */
  readonly lastFault: RouterErrorFields | undefined;
  /** Whether an earlier attempt may have run; the refusal of a later one then does not prove that nothing ran. */
  readonly mayHaveRun: boolean;
}
