import type { SecondCopy } from '#hedging/SecondCopy.js';
import type { CallerRefusal } from '#mesh/CallerRefusal.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { MeshView } from '#mesh/MeshView.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Requests, results, timers and state changes that `EntryTask` handles. */
export type EntryMessage =
  | {
      readonly type: 'arrived';
      /** Number of the exchange, unique in this process. */
      readonly exchange: number;
      readonly request: CallerRequest;
      readonly reply: (reply: CallerReply) => void;
    }
  /** The caller closed its connection. */
  | { readonly type: 'left'; readonly exchange: number }
  /** The rate limit of the tenant was checked; `refusal` is undefined if the request is within it. */
  | {
      readonly type: 'admitted';
      readonly exchange: number;
      readonly refusal: CallerRefusal | undefined;
    }
  /** An attempt ended. */
  | {
      readonly type: 'result';
      readonly exchange: number;
      readonly attempt: number;
      readonly result: BackendResult;
      /** The second copy, if the request was hedged. */
      readonly second: SecondCopy<ServerEntry, BackendResult> | undefined;
    }
  /** The daemon shuts down: requests that arrive from now on are due by `untilMs`, in monotonic time. */
  | { readonly type: 'leaving'; readonly untilMs: number }
  /** New requests are refused. */
  | { readonly type: 'stopping' }
  /** The process ends: open requests get their final replies. */
  | { readonly type: 'ending' }
  /** The deadline of the exchange is reached. */
  | { readonly type: 'due'; readonly exchange: number }
  /** The delay before the request is sent to the owner of its key again is over. */
  | { readonly type: 'waited'; readonly exchange: number }
  | { readonly type: 'view'; readonly view: MeshView }
  /** Whether the daemon at an address can be reached, as known until `untilMs`. */
  | {
      readonly type: 'reach';
      readonly address: string;
      readonly reachable: boolean;
      readonly untilMs: number;
    };
