import { absent } from '#model/Absent.js';

/** Nonces of the model are `n` and a digit; a holder without a valid one has an empty text. */
export function encodeNonce(nonce: string): number {
  return nonce === '' ? absent : Number(nonce.slice(1));
}
