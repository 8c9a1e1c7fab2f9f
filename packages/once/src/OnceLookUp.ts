import type { OnceRecord } from '#once/OnceRecord.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Result of looking up an id. `running`: wait for the end of the original. `answered`: send the stored answer.
 * `unknown`: refuse with `error`. `absent`: the id is not remembered, so the original was refused as not run.
 */
export type OnceLookUp =
  | { readonly kind: 'running'; readonly record: OnceRecord }
  | { readonly kind: 'answered'; readonly record: OnceRecord }
  | { readonly kind: 'unknown'; readonly error: RouterErrorFields }
  | { readonly kind: 'absent' };
