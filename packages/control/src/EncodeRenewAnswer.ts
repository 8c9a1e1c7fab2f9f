import type { RenewAnswer } from '#control/RenewAnswer.js';
import type { RenewAnswerTuple } from '#control/RenewAnswerTuple.js';

/** Encodes the answer to a renewal from a holder of the cell `callerCell`, whose name is not repeated. */
export function encodeRenewAnswer({ reply, digest }: RenewAnswer, callerCell: string): RenewAnswerTuple {
  const { epoch, sentAtMs, granted, nonce, promisedEpoch } = reply;
  const name = digest.n === callerCell ? '' : digest.n;
  return [epoch, sentAtMs, granted ? 1 : 0, nonce, promisedEpoch, digest.c, digest.i, name, digest.v];
}
