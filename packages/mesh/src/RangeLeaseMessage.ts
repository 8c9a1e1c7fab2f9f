import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import type { Resignation } from '#mesh/Resignation.js';

/** Messages to `RangeLeaseTask`. */
export type RangeLeaseMessage =
  /** Acquires the lease and keeps renewing it from now on. */
  | { readonly type: 'hold' }
  | { readonly type: 'facts'; readonly facts: LeaseReport }
  | { readonly type: 'renew' }
  | { readonly type: 'eraChanged'; readonly change: EraChange }
  /** Ends the term for good. The reply comes at once; the record is written to the store if it can be reached. */
  | { readonly type: 'resign'; readonly reply: (resignation: Resignation) => void }
  | {
      readonly type: 'renewed';
      /** Time on the elapsed clock at which the renewal was sent, in milliseconds. */
      readonly sentMs: number;
      readonly term: number;
      readonly result: Either<RouterError, CollectionPutResult>;
    };
