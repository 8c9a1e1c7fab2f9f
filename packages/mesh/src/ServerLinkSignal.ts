import type { BackendResponse } from '#mesh/BackendResponse.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Event that a connection to the backend server reports to its task. */
export type ServerLinkSignal =
  | { readonly type: 'connected' }
  /** A complete response to the request with this id. `reusable`: the connection can carry another request. */
  | {
      readonly type: 'answered';
      readonly requestId: string;
      readonly response: BackendResponse;
      readonly reusable: boolean;
    }
  /** The request with this id ended without a complete response. */
  | {
      readonly type: 'broken';
      readonly requestId: string;
      readonly reason: string;
      readonly malformed: boolean;
    }
  /** The connection closed while no request was in progress. `refused`: the port has no listener. */
  | { readonly type: 'closed'; readonly refused: boolean; readonly neverOpened: boolean }
  /** A response to an earlier request was skipped. */
  | { readonly type: 'skipped'; readonly headers: readonly HeaderPair[] };
