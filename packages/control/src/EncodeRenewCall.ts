import type { RenewCall } from '#control/RenewCall.js';
import type { RenewTuple } from '#control/RenewTuple.js';

/** Encodes a renewal without its server id, which is the sender's, and the cell name of its digest, which is `cell`. */
export function encodeRenewCall({ request, cell, digest }: RenewCall): RenewTuple {
  const { epoch, sentAtMs, continuous, nonce } = request;
  return [epoch, sentAtMs, continuous ? 1 : 0, nonce, cell, digest.c, digest.i, digest.v];
}
