import type { Withdrawal } from '#control/Withdrawal.js';

/** What operators have taken out of service, and VMs that they state to be destroyed. */
export interface Intent {
  readonly withdrawals: readonly Withdrawal[];
  /** Server ids that an operator confirmed as lost for good (`confirm-lost`). */
  readonly confirmedLost: readonly string[];
}
