import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewResponseTuple } from '#control/RenewResponseTuple.js';

/** Decodes an answer by `encodeRenewAnswer`. */
export function decodeRenewResponse(tuple: RenewResponseTuple, callerCell: string): RenewResponse {
  const [epoch, sentAtMs, granted, nonce, promisedEpoch, c, i, name, v] = tuple;
  const reply = { epoch, sentAtMs, granted: granted === 1, nonce, promisedEpoch };
  return { reply, digest: { c, i, n: name === '' && v > 0 ? callerCell : name, v } };
}
