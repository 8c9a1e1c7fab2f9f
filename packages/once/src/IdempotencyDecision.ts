import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** What to do with an arriving request that may not be repeated. `run` has already recorded the id as running. */
export type IdempotencyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'repeat'; readonly record: IdempotencyRecord }
  | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
