import type { PromiseReply } from '#lease/PromiseReply.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Commands of a witness to its task. An event without a reply command is left unanswered. */
export type WitnessCommand =
  | { readonly type: 'replyRenew'; readonly serverId: string; readonly reply: RenewReply }
  | { readonly type: 'replyPromise'; readonly serverId: string; readonly reply: PromiseReply }
  | { readonly type: 'replyCheck'; readonly serverId: string; readonly silent: boolean }
  /** The server was silent for W. Repeated at the renewal interval for as long as that lasts. */
  | { readonly type: 'suspect'; readonly serverId: string; readonly epoch: number };
