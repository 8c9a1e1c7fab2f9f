import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages of `EntryTask`. */
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
  | {
      readonly type: 'result';
      readonly exchange: number;
      readonly offer: number;
      readonly result: BackendResult;
    }
  /** The daemon ends: new requests are refused. */
  | { readonly type: 'stopping' }
  | { readonly type: 'due'; readonly exchange: number }
  | { readonly type: 'waited'; readonly exchange: number }
  | { readonly type: 'view'; readonly view: MeshView }
  | {
      readonly type: 'reach';
      readonly address: string;
      readonly reachable: boolean;
      readonly untilMs: number;
    };
