import type { Cell } from '#assignment/Cell.js';
import type { Digest } from '#control/Digest.js';
import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewCall } from '#control/RenewCall.js';
import type { PromiseReply } from '#lease/PromiseReply.js';
import type { PromiseRequest } from '#lease/PromiseRequest.js';

/** Messages to `WitnessTask`. A call that stays unanswered is replied to with undefined. */
export type WitnessMessage =
  | {
      readonly type: 'renew';
      readonly call: RenewCall;
      readonly reply: (answer: RenewResponse | undefined) => void;
    }
  | {
      readonly type: 'promise';
      readonly request: PromiseRequest;
      readonly reply: (answer: PromiseReply | undefined) => void;
    }
  | {
      readonly type: 'check';
      readonly serverId: string;
      readonly epoch: number;
      readonly reply: (answer: { readonly silent: boolean } | undefined) => void;
    }
  | { readonly type: 'cell'; readonly name: string; readonly cell: Cell }
  /** Servers whose VMs an operator stated to be destroyed; they count as agreeing to a suspicion. */
  | { readonly type: 'confirmedLost'; readonly serverIds: readonly string[] }
  | { readonly type: 'digest'; readonly digest: Digest }
  | {
      readonly type: 'suspicion';
      readonly serverId: string;
      readonly epoch: number;
      readonly event: 'due' | 'agreed' | 'denied' | 'answered' | 'unanswered';
    }
  | { readonly type: 'tick' };
