import type { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPosition } from '#fanout/CollectionPosition.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';
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
  /** Reads the revisions up to which the collections are known. */
  | { readonly type: 'positions'; readonly reply: (positions: readonly CollectionPosition[]) => void }
  /** Another daemon reads the store for this one, and has sent `updates`. The store is no longer watched. */
  | { readonly type: 'followed'; readonly updates: readonly CollectionUpdate[] }
  /** This daemon watches the store itself again. */
  | { readonly type: 'direct' }
  /** The store's connections carried the response to a call that was sent at `sentMs`. */
  | { readonly type: 'confirmed'; readonly sentMs: number }
  /** A collection has to be listed again to remove objects that were kept. */
  | { readonly type: 'relist'; readonly collection: WatchedCollection }
  /** The delay before the next call of the store is over. */
  | { readonly type: 'proceed'; readonly collection: WatchedCollection };
