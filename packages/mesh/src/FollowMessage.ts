import type { CollectionPosition } from '#fanout/CollectionPosition.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Views, hints, replies and timers that `FollowTask` handles. */
export type FollowMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  /** Revisions that another daemon has seen, in the order of `watchedCollections`. */
  | { readonly type: 'hint'; readonly revisions: readonly number[] }
  /** The reader has had time to send what a hint told of. */
  | { readonly type: 'hintDue' }
  /** A daemon that reads the store itself tries the readers. */
  | { readonly type: 'contact' }
  /** The pause after a reply is over. */
  | { readonly type: 'proceed' }
  /** The delay before the store is tried is over. */
  | { readonly type: 'probe' }
  | { readonly type: 'probed'; readonly answered: boolean }
  | {
      readonly type: 'positions';
      readonly call: number;
      readonly positions: readonly CollectionPosition[];
    }
  | { readonly type: 'replied'; readonly call: number; readonly result: unknown }
  | { readonly type: 'timedOut'; readonly call: number };
