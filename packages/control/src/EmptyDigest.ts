import type { Digest } from '#control/Digest.js';

/** Digest of a daemon that holds nothing yet. */
export const emptyDigest: Digest = { c: 0, i: 0, n: '', v: 0 };
