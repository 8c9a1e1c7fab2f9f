/** Limits on the idempotency records that one daemon keeps. */
export interface IdempotencyLimits {
  /** Duration of an admission window, in milliseconds; it ends earlier if the table is full. */
  readonly horizonMs: number;
  /** Maximum number of records over all shards. */
  readonly maxRecords: number;
  /** Maximum number of estimated bytes over all shards. */
  readonly maxBytes: number;
  /** Longest response body that is recorded, in characters of its base64 form. */
  readonly maxResponseLength: number;
}
