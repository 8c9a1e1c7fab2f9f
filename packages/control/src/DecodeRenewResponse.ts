import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewResponseTuple } from '#control/RenewResponseTuple.js';

/** Decodes the result of `encodeRenewResponse`; `callerCell` is the cell of the holder that sent the renewal. */
export function decodeRenewResponse(tuple: RenewResponseTuple, callerCell: string): RenewResponse {
  const [epoch, sentAtMs, granted, nonce, promisedEpoch, c, i, name, v] = tuple;
  const reply = { epoch, sentAtMs, granted: granted === 1, nonce, promisedEpoch };
  return { reply, digest: { c, i, n: name === '' && v > 0 ? callerCell : name, v } };
}
