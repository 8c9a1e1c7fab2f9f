import type { OnceRecord } from '#once/OnceRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** What to do with an arriving request that may not be repeated. `run` has already recorded the id as running. */
export type OnceDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'repeat'; readonly record: OnceRecord }
  | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
