/**
 * Events of `outlierChart`.
 * - `judged`: the server was evaluated; `hasRoom`: one more server may be ejected.
 * - `waited`: the ejection time has passed.
 * - `trialEnded`: the trial request ended; `good`: in time and without an error.
 */
export type OutlierEvent =
  | { readonly type: 'judged'; readonly isOutlier: boolean; readonly hasRoom: boolean }
  | { readonly type: 'waited' }
  | { readonly type: 'trialEnded'; readonly good: boolean };
