import type { RelayHead } from '#mesh/RelayHead.js';

/** How a call over a session ended. `sent` tells whether the peer may have received it. */
export type PeerReply =
  | { readonly ok: true; readonly head: RelayHead; readonly body: Buffer }
  | { readonly ok: false; readonly sent: boolean };
