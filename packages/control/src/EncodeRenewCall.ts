import type { RenewCall } from '#control/RenewCall.js';
import type { RenewTuple } from '#control/RenewTuple.js';

/** Encodes a renewal for the wire; the server id is that of the sender, and the cell of the digest is the same. */
export function encodeRenewCall({ request, cell, digest }: RenewCall): RenewTuple {
  const { epoch, sentAtMs, continuous, nonce } = request;
  return [epoch, sentAtMs, continuous ? 1 : 0, nonce, cell, digest.c, digest.i, digest.v];
}
