import type { ReRegisterReason } from '#lease/ReRegisterReason.js';
import type { RenewRequest } from '#lease/RenewRequest.js';

/** Commands of charts/holder.json to the task that runs it. */
export type HolderCommand =
  | { readonly type: 'sendRenew'; readonly witness: string; readonly request: RenewRequest }
  | { readonly type: 'leaseChanged'; readonly epoch: number; readonly leaseEndMs: number }
  /** Requests the write of a new epoch. Repeated with every round of renewals until the event `registering` arrives. */
  | {
      readonly type: 'reRegister';
      readonly reason: ReRegisterReason;
      readonly silentWitnesses: readonly string[];
    };
