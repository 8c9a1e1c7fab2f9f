import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';

/**
 * Result of `updateObject`.
 * - `accepted`: this writer's change is version `version`; `object` is the newest version read.
 * - `unchanged`: the change function asked for no change to `object`.
 * - `conflict`: other writers changed the object at each attempt; this writer's change is not in it.
 * - `undecided`: a write may have been accepted and the store can't be read; pass `pending` to the next update.
 */
export type UpdateOutcome =
  | { readonly type: 'accepted'; readonly version: number; readonly object: StoreObject }
  | { readonly type: 'unchanged'; readonly object: StoreObject | undefined }
  | { readonly type: 'conflict'; readonly object: StoreObject | undefined }
  | { readonly type: 'undecided'; readonly pending: readonly PendingWrite[] };
