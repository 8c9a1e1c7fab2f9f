import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Whether a request is admitted. Each admitted request has to be released once. */
export type AdmissionResult =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
