import type { CollectionChange } from '#store/CollectionChange.js';
import type { UnreadableObject } from '#store/UnreadableObject.js';

/** Changes of a collection in their order, and the revision up to which they are complete. */
export interface CollectionChanges {
  readonly changes: readonly CollectionChange[];
  /** Objects that changed and cannot be read. */
  readonly unreadable: readonly UnreadableObject[];
  readonly revision: number;
}
