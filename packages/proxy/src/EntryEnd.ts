import type { Outcome } from '#delivery/Outcome.js';

/** End of one request of a caller, for histograms and counters. */
export interface EntryEnd {
  readonly team: string;
  readonly class: string;
  readonly service: string;
  readonly outcome: Outcome;
  /** Code of the refusal or failure; empty for answers. */
  readonly code: string;
  /** Attempts after the first one. */
  readonly retries: number;
  /** Time from arrival to the end of the answer, in milliseconds. */
  readonly wholeMs: number;
  /** Time of the last attempt at the owner, in milliseconds. */
  readonly orderMs: number;
}
