/** Bounds of the idempotency records that one daemon keeps. */
export interface IdempotencyLimits {
  /** Longest duration of an admission window, in milliseconds. */
  readonly horizonMs: number;
  /** Records kept at most, over all shards. */
  readonly maxRecords: number;
  /** Estimated bytes kept at most, over all shards. */
  readonly maxBytes: number;
  /** Longest answer body that is kept, in characters of its base64 form. */
  readonly maxResponseLength: number;
}
