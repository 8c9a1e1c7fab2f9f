import type { PromiseRequest } from '#lease/PromiseRequest.js';
import type { RenewRequest } from '#lease/RenewRequest.js';

/** Events of a witness. `nowMs` is the time of its monotonic clock. */
export type WitnessEvent =
  /** The process started; `nonce` is a fresh random value. */
  | { readonly type: 'started'; readonly nowMs: number; readonly nonce: string }
  | { readonly type: 'renew'; readonly request: RenewRequest; readonly nowMs: number }
  | { readonly type: 'promise'; readonly request: PromiseRequest; readonly nowMs: number }
  /** Another witness asks whether the holder is silent for this one, too. */
  | { readonly type: 'check'; readonly serverId: string; readonly epoch: number; readonly nowMs: number }
  /** The cell lists this witness for an epoch of a server; its silence is counted from this time at the earliest. */
  | { readonly type: 'watch'; readonly serverId: string; readonly epoch: number; readonly nowMs: number }
  /** The cell no longer lists this witness for the server, whose epochs up to `epoch` are over. */
  | { readonly type: 'forget'; readonly serverId: string; readonly epoch: number; readonly nowMs: number }
  | { readonly type: 'tick'; readonly nowMs: number };
