/** Wire form of a renewal: epoch, sentAtMs, continuous (0 or 1), nonce, cell name, and the versions of the digest. */
export type RenewTuple = readonly [number, number, 0 | 1, string, string, number, number, number];
