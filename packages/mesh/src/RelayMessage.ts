import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { PeerSession } from '#mesh/PeerSession.js';

/** Messages to `RelayTask`. */
export type RelayMessage =
  | {
      readonly type: 'order';
      readonly request: BackendRequest;
      readonly address: string;
      readonly reply: BackendResultCallback;
    }
  /** Tells a daemon that the caller of a request has disconnected. */
  | { readonly type: 'cancel'; readonly id: string; readonly address: string }
  | {
      readonly type: 'call';
      readonly address: string;
      readonly method: string;
      readonly params: unknown;
      /** Whether the peer may take long to reply. The caller bounds the time, and the session is not pinged meanwhile. */
      readonly isLongPoll?: boolean;
      /** Receives the result; undefined if the call failed. */
      readonly reply: (result: unknown) => void;
    }
  | {
      readonly type: 'closed';
      readonly address: string;
      readonly session: PeerSession;
      readonly failed: boolean;
    }
  | { readonly type: 'tick' };
