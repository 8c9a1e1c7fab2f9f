import { absent } from '#model/Absent.js';

/** Encodes a nonce, which is `n` and a digit, or empty for a holder without a valid nonce. */
export function encodeNonce(nonce: string): number {
  return nonce === '' ? absent : Number(nonce.slice(1));
}
