import type { CollectionItem } from '#store/CollectionItem.js';

/** A change of one object of a collection. */
export interface CollectionChange {
  readonly item: CollectionItem;
  readonly deleted: boolean;
}
