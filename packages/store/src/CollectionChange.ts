import type { CollectionItem } from '#store/CollectionItem.js';

/** A write or deletion of one object in a collection. */
export interface CollectionChange {
  readonly item: CollectionItem;
  readonly deleted: boolean;
}
