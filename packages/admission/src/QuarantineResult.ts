import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** How a request may run: with others, only alone on a backend server, or not at all. */
export type QuarantineResult =
  { readonly kind: 'run' | 'alone' } | { readonly kind: 'hold'; readonly error: RouterErrorFields };
