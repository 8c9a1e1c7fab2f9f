/** What a new owner knows about one witness of a fence. */
export interface WitnessPromise {
  readonly witness: string;
  /** Send time of the request that was answered with a promise; undefined without a promise. */
  readonly promisedSentAtMs: number | undefined;
  /** Time at which the last grant of this witness has expired. */
  readonly expiryMs: number;
  /** Send time of the newest request. */
  readonly askedAtMs: number;
  /** Time at which an operator stated that the witness is destroyed. */
  readonly lostSinceMs: number | undefined;
}
