/**
 * What the entry daemon does with a request.
 * - `send`: to one of `candidates`, which are not known to be full.
 * - `refuse`: all candidates are known to be full until `retryAfterMs` from now at least. `ageMs` is the age of the
 *   oldest information that the decision rests on.
 */
export type EntryDecision<T> =
  | { readonly type: 'send'; readonly candidates: readonly T[]; readonly isProbe: boolean }
  | { readonly type: 'refuse'; readonly retryAfterMs: number; readonly ageMs: number };
