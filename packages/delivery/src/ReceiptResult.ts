import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';

/**
 * Result of a receipt. `counted`: the first valid one; the caller counts `outcome` now. `repeated`: the outcome was
 * counted before. `refused`: unknown id or another team; nothing is counted.
 */
export type ReceiptResult =
  | { readonly kind: 'counted'; readonly outcome: Outcome; readonly receipt: PendingReceipt }
  | { readonly kind: 'repeated'; readonly outcome: Outcome }
  | { readonly kind: 'refused'; readonly error: RouterErrorFields };
