import type { CollectionItem } from '#store/CollectionItem.js';

/** All objects of a collection, and the revision at which they were read. */
export interface CollectionListing {
  readonly items: readonly CollectionItem[];
  readonly revision: number;
}
