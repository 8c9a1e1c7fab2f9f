/** Whether to retry and after which delay, or the reason why not. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: number }
  | { readonly kind: 'giveUp'; readonly reason: 'mayHaveRun' | 'attempts' | 'deadline' | 'budget' };
