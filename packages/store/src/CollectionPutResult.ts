import type { CollectionItem } from '#store/CollectionItem.js';

/** Result of a conditional write. `current` is undefined if the object does not exist. */
export type CollectionPutResult =
  | { readonly type: 'accepted'; readonly item: CollectionItem }
  | { readonly type: 'conflict'; readonly current: CollectionItem | undefined };
