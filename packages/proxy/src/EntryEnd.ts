import type { Outcome } from '#delivery/Outcome.js';

/** Outcome and durations of one caller request, for histograms and counters. */
export interface EntryEnd {
  readonly team: string;
  readonly class: string;
  readonly service: string;
  readonly outcome: Outcome;
  /** Code of the refusal or failure; empty for a response of the backend server. */
  readonly code: string;
  /** Number of attempts after the first one. */
  readonly retries: number;
  /** Time from the arrival to the end of the response, in milliseconds. */
  readonly wholeMs: number;
  /** Duration of the last attempt, in milliseconds. */
  readonly attemptMs: number;
}
