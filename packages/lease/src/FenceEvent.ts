import type { FenceTarget } from '#lease/FenceTarget.js';
import type { PromiseReply } from '#lease/PromiseReply.js';

/** Events of a fence at the new owner. Times are of the new owner's monotonic clock. */
export type FenceEvent =
  /** The new owner received a stored version of the cell that contains this fence. */
  | { readonly type: 'begin'; readonly fence: FenceTarget; readonly nowMs: number }
  | ({ readonly type: 'promiseReply'; readonly witness: string; readonly nowMs: number } & PromiseReply)
  /** An operator confirmed that this server's VM is destroyed and will not return. */
  | { readonly type: 'confirmedLost'; readonly serverId: string; readonly nowMs: number }
  | { readonly type: 'tick'; readonly nowMs: number };
