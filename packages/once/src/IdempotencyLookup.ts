import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Result of the lookup of an id. `running`: the repeat has to wait for the end of the original. `answered`: it gets the
 * recorded response. `unknown`: it is refused with `error`. `absent`: there is no record, since the original did not
 * run.
 */
export type IdempotencyLookup =
  | { readonly kind: 'running'; readonly record: IdempotencyRecord }
  | { readonly kind: 'answered'; readonly record: IdempotencyRecord }
  | { readonly kind: 'unknown'; readonly error: RouterErrorFields }
  | { readonly kind: 'absent' };
