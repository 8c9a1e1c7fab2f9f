/** What a holder knows about one of its witnesses. Times are of the holder's monotonic clock. */
export interface WitnessLink {
  readonly witness: string;
  /** Newest known nonce of the witness; empty if unknown. */
  readonly nonce: string;
  /** Send time of the newest renewal that was granted; undefined before the first grant of this epoch. */
  readonly grantedSentAtMs: number | undefined;
  /** Send time of the newest renewal; undefined before the first one. */
  readonly lastSentAtMs: number | undefined;
  /** Consecutive renewals that had no reply when the next one was sent. */
  readonly failures: number;
  /** Whether a reply to a renewal sent at or after `lastSentAtMs` has arrived. */
  readonly answered: boolean;
  /** Whether the newest reply was a refusal although the nonce matched: the witness does not remember the epoch. */
  readonly forgot: boolean;
}
