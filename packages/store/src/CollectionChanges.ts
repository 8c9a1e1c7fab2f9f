import type { CollectionChange } from '#store/CollectionChange.js';

/** Changes of a collection in their order, and the revision up to which they are complete. */
export interface CollectionChanges {
  readonly changes: readonly CollectionChange[];
  readonly revision: number;
}
