import type { Cell } from '#assignment/Cell.js';
import type { Digest } from '#control/Digest.js';
import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewCall } from '#control/RenewCall.js';
import type { PromiseReply } from '#lease/PromiseReply.js';
import type { PromiseRequest } from '#lease/PromiseRequest.js';

/** Requests and updates for the witness task. The reply is undefined if the witness must not answer the call. */
export type WitnessMessage =
  | {
      readonly type: 'renew';
      readonly call: RenewCall;
      readonly reply: (response: RenewResponse | undefined) => void;
    }
  | {
      readonly type: 'promise';
      readonly request: PromiseRequest;
      readonly reply: (response: PromiseReply | undefined) => void;
    }
  | {
      readonly type: 'check';
      readonly serverId: string;
      readonly epoch: number;
      readonly reply: (response: { readonly silent: boolean } | undefined) => void;
    }
  | { readonly type: 'cell'; readonly name: string; readonly cell: Cell }
  /** Servers that an operator confirmed as lost; as witnesses, they count as agreeing with each suspicion. */
  | { readonly type: 'confirmedLost'; readonly serverIds: readonly string[] }
  | { readonly type: 'digest'; readonly digest: Digest }
  | {
      readonly type: 'suspicion';
      readonly serverId: string;
      readonly epoch: number;
      readonly event: 'due' | 'agreed' | 'denied' | 'answered' | 'unanswered';
    }
  | { readonly type: 'tick' };
