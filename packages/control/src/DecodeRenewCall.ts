import type { RenewCall } from '#control/RenewCall.js';
import type { RenewTuple } from '#control/RenewTuple.js';

/** Decodes the result of `encodeRenewCall`, sent by the server `from`. */
export function decodeRenewCall(tuple: RenewTuple, from: string): RenewCall {
  const [epoch, sentAtMs, continuous, nonce, cell, c, i, v] = tuple;
  const request = { serverId: from, epoch, sentAtMs, continuous: continuous === 1, nonce };
  return { request, cell, digest: { c, i, n: cell, v } };
}
