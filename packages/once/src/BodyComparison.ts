import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Whether a repeat has the same body as the original; `pending` while the original runs and its hash is not known. */
export type BodyComparison =
  | { readonly kind: 'same' }
  | { readonly kind: 'pending' }
  | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
