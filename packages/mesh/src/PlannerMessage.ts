import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { TableView } from '#mesh/TableView.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages of `PlannerTask`. */
export type PlannerMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'tick' }
  /** Another daemon ended and gave up its term. */
  | { readonly type: 'resigned'; readonly value: unknown }
  /** Whether a daemon before this one in rank plans. */
  | { readonly type: 'pinged'; readonly rank: number; readonly plans: boolean }
  /** Asks whether this daemon can plan. */
  | { readonly type: 'asked'; readonly reply: (plans: boolean) => void }
  | {
      readonly type: 'listed';
      /** Table as it was before the leases were read. */
      readonly table: TableView;
      readonly result: Either<RouterError, CollectionListing>;
    }
  | {
      readonly type: 'revoked';
      readonly serverId: string;
      readonly result: Either<RouterError, CollectionPutResult>;
    }
  | { readonly type: 'written'; readonly result: Either<RouterError, CollectionPutResult> };
