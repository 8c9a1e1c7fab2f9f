import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewResponseTuple } from '#control/RenewResponseTuple.js';

/** Encodes the response to a renewal; an empty cell name in its digest stands for the holder's cell `callerCell`. */
export function encodeRenewResponse(
  { reply, digest }: RenewResponse,
  callerCell: string,
): RenewResponseTuple {
  const { epoch, sentAtMs, granted, nonce, promisedEpoch } = reply;
  const name = digest.n === callerCell ? '' : digest.n;
  return [epoch, sentAtMs, granted ? 1 : 0, nonce, promisedEpoch, digest.c, digest.i, name, digest.v];
}
