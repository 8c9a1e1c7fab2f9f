import type { RelayHead } from '#mesh/RelayHead.js';

/** Outcome of a call to another daemon. `sent`: the peer may have received the call; `fault`: why its reply is invalid. */
export type PeerReply =
  | { readonly ok: true; readonly head: RelayHead; readonly body: Buffer }
  | { readonly ok: false; readonly sent: boolean; readonly fault?: string };
