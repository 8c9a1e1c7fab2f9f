import type { RelayHead } from '#mesh/RelayHead.js';

/** How a call over a session ended. `sent` tells whether the peer may have received it, `fault` why its answer is bad. */
export type PeerReply =
  | { readonly ok: true; readonly head: RelayHead; readonly body: Buffer }
  | { readonly ok: false; readonly sent: boolean; readonly fault?: string };
