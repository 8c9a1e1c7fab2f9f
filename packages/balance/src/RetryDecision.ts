/** Whether to try again, and after which delay; otherwise why not. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: number }
  | { readonly kind: 'giveUp'; readonly reason: 'mayHaveRun' | 'attempts' | 'deadline' | 'budget' };
