import type { Either } from 'purify-ts';
import type { CrashMark } from '#admission/CrashMark.js';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages to `CrashMarkTask`. */
export type CrashMarkMessage =
  /** Marks that this daemon set or cleared. */
  | { readonly type: 'marked'; readonly marks: readonly CrashMark[] }
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'eraChanged'; readonly change: EraChange }
  | { readonly type: 'listed'; readonly result: Either<RouterError, CollectionListing> }
  | {
      readonly type: 'written';
      readonly version: number;
      readonly result: Either<RouterError, CollectionPutResult>;
    }
  /** The result of sending the marks up to `version` to another daemon. */
  | {
      readonly type: 'sent';
      readonly serverId: string;
      readonly processId: string;
      readonly version: number;
      readonly delivered: boolean;
    }
  /** The delay before a call to another daemon is repeated is over. */
  | { readonly type: 'resend'; readonly serverId: string }
  /** The delay before the next call of the store is over. */
  | { readonly type: 'due'; readonly call: 'list' | 'write' };
