import type { Withdrawal } from '#control/Withdrawal.js';

/** What operators have taken out of service, and which servers they confirmed as lost. */
export interface Intent {
  readonly withdrawals: readonly Withdrawal[];
  /** Server ids that an operator confirmed as lost for good (`confirm-lost`). */
  readonly confirmedLost: readonly string[];
}
