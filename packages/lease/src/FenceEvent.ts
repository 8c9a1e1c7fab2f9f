import type { FenceTarget } from '#lease/FenceTarget.js';
import type { PromiseReply } from '#lease/PromiseReply.js';

/** Events of a fence at the new owner. Times are of the new owner's monotonic clock. */
export type FenceEvent =
  /** The new owner has the version of the cell that the store accepted with this fence. */
  | { readonly type: 'begin'; readonly fence: FenceTarget; readonly nowMs: number }
  | ({ readonly type: 'promiseReply'; readonly witness: string; readonly nowMs: number } & PromiseReply)
  /** An operator stated that this server's VM is destroyed and will not return. */
  | { readonly type: 'confirmedLost'; readonly serverId: string; readonly nowMs: number }
  | { readonly type: 'tick'; readonly nowMs: number };
