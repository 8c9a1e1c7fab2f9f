import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';

/** What a reader reports about a collection: its changes since a revision, or all objects if it lacks some of them. */
export type CollectionUpdate =
  | { readonly type: 'listed'; readonly collection: string; readonly listing: CollectionListing }
  | { readonly type: 'changed'; readonly collection: string; readonly changes: CollectionChanges };
