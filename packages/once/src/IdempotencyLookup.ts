import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Result of looking up an id. `running`: wait for the end of the original. `answered`: send the stored answer.
 * `unknown`: refuse with `error`. `absent`: the id is not remembered, so the original was refused as not run.
 */
export type IdempotencyLookup =
  | { readonly kind: 'running'; readonly record: IdempotencyRecord }
  | { readonly kind: 'answered'; readonly record: IdempotencyRecord }
  | { readonly kind: 'unknown'; readonly error: RouterErrorFields }
  | { readonly kind: 'absent' };
