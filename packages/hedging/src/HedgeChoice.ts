import type { HedgeDenial } from '#hedging/HedgeDenial.js';

/** Decision on a request that is slower than usual for its kind. */
export type HedgeChoice<S> =
  | { readonly kind: 'hedge'; readonly server: S }
  | { readonly kind: 'wait'; readonly delayMs: number }
  | { readonly kind: 'none' }
  | { readonly kind: 'denied'; readonly reason: HedgeDenial };
