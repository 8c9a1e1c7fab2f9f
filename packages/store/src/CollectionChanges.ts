import type { CollectionChange } from '#store/CollectionChange.js';
import type { UnreadableObject } from '#store/UnreadableObject.js';

/** Changes of a collection in chronological order, complete up to `revision`. */
export interface CollectionChanges {
  readonly changes: readonly CollectionChange[];
  /** Changed objects that cannot be decoded. */
  readonly unreadable: readonly UnreadableObject[];
  readonly revision: number;
}
