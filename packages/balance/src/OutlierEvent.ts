/**
 * Events of one server of the pool. `judged` carries the verdict of an evaluation; `waited`: the time of the ejection
 * passed; `trialEnded`: the trial request ended.
 */
export type OutlierEvent =
  | { readonly type: 'judged'; readonly isOutlier: boolean; readonly hasRoom: boolean }
  | { readonly type: 'waited' }
  | { readonly type: 'trialEnded'; readonly good: boolean };
