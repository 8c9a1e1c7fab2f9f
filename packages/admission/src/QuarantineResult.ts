import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Decision on a request: it may run with others, only alone at a backend server, or not at all. */
export type QuarantineResult =
  { readonly kind: 'run' | 'alone' } | { readonly kind: 'hold'; readonly error: RouterErrorFields };
