import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';

/** What `DirectoryTask` has read. `sentMs` is the time of the call if the store itself answered it. */
export type ReadReport =
  | { readonly type: 'read'; readonly update: CollectionUpdate; readonly sentMs: number | undefined }
  /** The state of a collection is not older than `sentMs`. */
  | { readonly type: 'confirmed'; readonly collection: string; readonly sentMs: number };
