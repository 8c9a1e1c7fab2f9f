import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';

/**
 * Result of `updateObject`.
 * - `accepted`: the store accepted this change as version `version`; `object` is the newest version known.
 * - `unchanged`: the change function returned undefined for `object`.
 * - `conflict`: another writer changed the object at each attempt; this change was not written.
 * - `undecided`: a write may have been accepted and the store cannot be read; pass `pending` to the next update.
 */
export type UpdateOutcome =
  | { readonly type: 'accepted'; readonly version: number; readonly object: StoreObject }
  | { readonly type: 'unchanged'; readonly object: StoreObject | undefined }
  | { readonly type: 'conflict'; readonly object: StoreObject | undefined }
  | { readonly type: 'undecided'; readonly pending: readonly PendingWrite[] };
