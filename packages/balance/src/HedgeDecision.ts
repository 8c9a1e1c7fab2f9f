/** Whether to send a hedging request now, to decide again after a delay, or not to send one. */
export type HedgeDecision =
  { readonly kind: 'hedge' | 'none' } | { readonly kind: 'wait'; readonly delayMs: number };
