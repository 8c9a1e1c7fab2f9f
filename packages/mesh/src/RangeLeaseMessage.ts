import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import type { Resignation } from '#mesh/Resignation.js';

/** Messages of `RangeLeaseTask`. */
export type RangeLeaseMessage =
  /** Begins to hold the lease, if it is not held yet. */
  | { readonly type: 'hold' }
  | { readonly type: 'facts'; readonly facts: LeaseFacts }
  | { readonly type: 'renew' }
  /** Ends the term for good. The reply comes at once; the record follows if the store can be reached. */
  | { readonly type: 'resign'; readonly reply: (resignation: Resignation) => void }
  | {
      readonly type: 'renewed';
      /** Elapsed time at which the renewal was sent, in milliseconds. */
      readonly sentMs: number;
      readonly term: number;
      readonly result: Either<RouterError, CollectionPutResult>;
    };
