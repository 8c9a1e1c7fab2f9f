import type { CollectionItem } from '#store/CollectionItem.js';
import type { UnreadableObject } from '#store/UnreadableObject.js';

/** All objects of a collection, and the revision at which they were read. */
export interface CollectionListing {
  readonly items: readonly CollectionItem[];
  /** Objects that exist but cannot be decoded. */
  readonly unreadable: readonly UnreadableObject[];
  readonly revision: number;
}
