import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** A request that starts now, or that is refused without having run. */
export type QueueResult =
  | { readonly kind: 'start'; readonly id: string }
  | { readonly kind: 'refuse'; readonly id: string; readonly error: RouterErrorFields };
