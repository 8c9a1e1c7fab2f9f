import type { CollectionItem } from '#store/CollectionItem.js';

/** Copy of the state of a `MemoryCollectionStore`. Revisions do not contain the era. */
export interface MemoryStoreBackup {
  readonly revision: number;
  /** Objects by collection and name. */
  readonly collections: ReadonlyMap<string, ReadonlyMap<string, CollectionItem>>;
}
