import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages to `PlannerTask`. */
export type PlannerMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'tick' }
  | { readonly type: 'eraChanged'; readonly change: EraChange }
  /** Another daemon stopped and resigned its lease term. */
  | { readonly type: 'resigned'; readonly value: unknown }
  /** Reply of the daemon at `rank` to the question whether it plans. */
  | { readonly type: 'pinged'; readonly rank: number; readonly plans: boolean }
  /** Another daemon asks whether this one can plan. */
  | { readonly type: 'asked'; readonly reply: (plans: boolean) => void }
  | {
      readonly type: 'listed';
      /** Range table as it was before the leases were read. */
      readonly table: StoredRangeTable;
      readonly result: Either<RouterError, CollectionListing>;
    }
  | {
      readonly type: 'revoked';
      readonly serverId: string;
      readonly result: Either<RouterError, CollectionPutResult>;
    }
  | { readonly type: 'written'; readonly result: Either<RouterError, CollectionPutResult> };
