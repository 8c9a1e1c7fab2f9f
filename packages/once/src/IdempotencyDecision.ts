import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Decision on a non-repeatable request that arrives. With `run`, its id is already recorded as running. */
export type IdempotencyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'repeat'; readonly record: IdempotencyRecord }
  | { readonly kind: 'refuse'; readonly error: RouterErrorFields };
