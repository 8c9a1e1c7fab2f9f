import type { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { ViewListener } from '#mesh/ViewListener.js';
import type { WatchedCollection } from '#mesh/WatchedCollection.js';

/** Replies of the store, hints of other daemons, and timers that `DirectoryTask` handles. */
export type DirectoryMessage =
  | { readonly type: 'subscribe'; readonly listener: ViewListener }
  | {
      readonly type: 'listed';
      readonly collection: WatchedCollection;
      readonly call: number;
      readonly listing: CollectionListing;
    }
  | {
      readonly type: 'changed';
      readonly collection: WatchedCollection;
      readonly call: number;
      readonly changes: CollectionChanges;
    }
  | {
      readonly type: 'failed';
      readonly collection: WatchedCollection;
      readonly call: number;
      readonly err: RouterError;
    }
  /** Revisions that another daemon has seen, in the order of `watchedCollections`. */
  | { readonly type: 'hint'; readonly revisions: readonly number[] }
  /** The store was restored from a backup, so that all collections have to be listed again. */
  | { readonly type: 'eraChanged' }
  /** The connections to the store were replaced, and the calls that wait on former ones get no response. */
  | { readonly type: 'reconnected' }
  /** A collection has to be listed again to remove objects that were kept. */
  | { readonly type: 'relist'; readonly collection: WatchedCollection }
  /** The delay before the next call of the store is over. */
  | { readonly type: 'proceed'; readonly collection: WatchedCollection };
