/** Wire form of an answer: epoch, sentAtMs, granted (0 or 1), nonce, promisedEpoch, and the fields of the digest. */
export type RenewResponseTuple = readonly [
  number,
  number,
  0 | 1,
  string,
  number,
  number,
  number,
  string,
  number,
];
