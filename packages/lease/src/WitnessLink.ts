/** What a holder knows about one of its witnesses. */
export interface WitnessLink {
  readonly witness: string;
  readonly nonce: string;
  /** Send time of the newest renewal that was granted; undefined before the first grant of this epoch. */
  readonly grantedSentAtMs: number | undefined;
  /** Send time of the newest renewal; undefined before the first one. */
  readonly lastSentAtMs: number | undefined;
  /** Renewals in a row that had no answer when the next one was sent. */
  readonly failures: number;
  /** Whether an answer to a renewal sent at or after `lastSentAtMs` has arrived. */
  readonly answered: boolean;
  /** Whether the newest answer was a refusal although the nonce matched: the witness does not remember the epoch. */
  readonly forgot: boolean;
}
