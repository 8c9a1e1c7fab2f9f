import type { RenewAnswer } from '#control/RenewAnswer.js';
import type { RenewAnswerTuple } from '#control/RenewAnswerTuple.js';

/** Decodes an answer by `encodeRenewAnswer`. */
export function decodeRenewAnswer(tuple: RenewAnswerTuple, callerCell: string): RenewAnswer {
  const [epoch, sentAtMs, granted, nonce, promisedEpoch, c, i, name, v] = tuple;
  const reply = { epoch, sentAtMs, granted: granted === 1, nonce, promisedEpoch };
  return { reply, digest: { c, i, n: name === '' && v > 0 ? callerCell : name, v } };
}
