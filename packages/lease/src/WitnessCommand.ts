import type { PromiseReply } from '#lease/PromiseReply.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Commands of charts/witness.json to the task that runs it. A call that leads to no reply command stays unanswered. */
export type WitnessCommand =
  | { readonly type: 'replyRenew'; readonly serverId: string; readonly reply: RenewReply }
  | { readonly type: 'replyPromise'; readonly serverId: string; readonly reply: PromiseReply }
  | { readonly type: 'replyCheck'; readonly serverId: string; readonly silent: boolean }
  /** The server has been silent for `witnessExpiryMs`. Repeated at the renewal interval while the silence lasts. */
  | { readonly type: 'suspect'; readonly serverId: string; readonly epoch: number };
