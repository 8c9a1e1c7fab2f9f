/** Whether a request is within the rate limit of its tenant. */
export type QuotaDecision =
  | { readonly admitted: true }
  /** `retryAfterMs` is the time until the request is expected to be within the limit. */
  | { readonly admitted: false; readonly retryAfterMs: number };
