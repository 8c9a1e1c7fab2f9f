import type { Digest } from '#control/Digest.js';

/** Digest that another daemon sent last. */
export interface SeenVersions {
  readonly serverId: string;
  readonly digest: Digest;
  /** Monotonic time of the digest, in milliseconds. */
  readonly seenAtMs: number;
}
