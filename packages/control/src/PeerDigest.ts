import type { Digest } from '#control/Digest.js';

/** Last digest that another daemon sent. */
export interface PeerDigest {
  readonly serverId: string;
  readonly digest: Digest;
  /** Monotonic time of the digest, in milliseconds. */
  readonly seenAtMs: number;
}
