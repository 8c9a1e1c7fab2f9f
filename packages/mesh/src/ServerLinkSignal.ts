import type { BackendResponse } from '#mesh/BackendResponse.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';

/** What a connection to the backend server reports to its task. */
export type ServerLinkSignal =
  | { readonly type: 'connected' }
  /** A complete answer to the order with this id. `reusable` tells whether the connection can carry another. */
  | {
      readonly type: 'answered';
      readonly requestId: string;
      readonly answer: BackendResponse;
      readonly reusable: boolean;
    }
  /** The order with this id has no complete answer. */
  | {
      readonly type: 'broken';
      readonly requestId: string;
      readonly reason: string;
      readonly malformed: boolean;
    }
  /** The connection closed without a current order; `refused` if the port has no listener. */
  | { readonly type: 'closed'; readonly refused: boolean; readonly neverOpened: boolean }
  /** Headers of an answer that belongs to an earlier order and was skipped. */
  | { readonly type: 'skipped'; readonly headers: readonly HeaderPair[] };
