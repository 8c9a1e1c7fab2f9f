import type { StoreObject } from '#store/StoreObject.js';

/** Result of a conditional write. `current` is undefined if the object does not exist. */
export type PutResult =
  | { readonly type: 'accepted'; readonly version: number }
  | { readonly type: 'conflict'; readonly current: StoreObject | undefined };
