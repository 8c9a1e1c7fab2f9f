import type { Call } from '#load/Call.js';
import type { CallOutcome } from '#load/CallOutcome.js';

/** What a caller does after a response. */
export type NextStep =
  | { readonly kind: 'finish'; readonly outcome: CallOutcome }
  | { readonly kind: 'repeat'; readonly call: Call; readonly delayMs: number };
