import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Whether a repeat has the body of the original; `pending` until the body of a running original was read. */
export type BodyComparison =
  | { readonly kind: 'same' }
  | { readonly kind: 'pending' }
  | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
