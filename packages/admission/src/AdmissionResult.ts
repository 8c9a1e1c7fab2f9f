import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Decision on the admission of a request. Each admitted request has to be released exactly once. */
export type AdmissionResult =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
