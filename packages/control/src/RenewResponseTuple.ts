/** Wire form of a renewal response: epoch, sentAtMs, granted (0 or 1), nonce, promisedEpoch, digest fields. */
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
