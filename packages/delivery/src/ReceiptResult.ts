import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';

/**
 * Result of a receipt. `counted`: it is the first one for its response, and `outcome` has to be counted. `repeated`:
 * the outcome was counted before. `refused`: the id is unknown or belongs to another team, and nothing is counted.
 */
export type ReceiptResult =
  | { readonly kind: 'counted'; readonly outcome: Outcome; readonly receipt: PendingReceipt }
  | { readonly kind: 'repeated'; readonly outcome: Outcome }
  | { readonly kind: 'refused'; readonly error: RouterErrorFields };
