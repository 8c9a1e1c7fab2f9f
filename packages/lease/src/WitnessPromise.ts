/** What a new owner knows about one witness of a fence. Times are of the new owner's monotonic clock. */
export interface WitnessPromise {
  readonly witness: string;
  /** Send time of the request to which the witness replied with a promise; undefined without a promise. */
  readonly promisedSentAtMs: number | undefined;
  /** Time at which the last grant of this witness has expired. */
  readonly expiryMs: number;
  /** Send time of the newest request. */
  readonly askedAtMs: number;
  /** Time at which the new owner learned that an operator confirmed the loss of the witness. */
  readonly lostSinceMs: number | undefined;
}
