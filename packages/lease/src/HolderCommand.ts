import type { ReRegisterReason } from '#lease/ReRegisterReason.js';
import type { RenewRequest } from '#lease/RenewRequest.js';

/** Commands of a holder to its task. */
export type HolderCommand =
  | { readonly type: 'sendRenew'; readonly witness: string; readonly request: RenewRequest }
  | { readonly type: 'leaseChanged'; readonly epoch: number; readonly leaseEndMs: number }
  /** Write a new epoch. Repeated with every round of renewals until `registering` arrives. */
  | {
      readonly type: 'reRegister';
      readonly reason: ReRegisterReason;
      readonly silentWitnesses: readonly string[];
    };
