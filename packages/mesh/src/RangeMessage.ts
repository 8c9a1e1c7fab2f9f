import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';
import type { View } from '#mesh/View.js';

/** Messages of `RangeTask`. */
export type RangeMessage =
  | { readonly type: 'view'; readonly view: View }
  | { readonly type: 'checkIn'; readonly checkIn: CheckIn }
  | { readonly type: 'ended'; readonly incarnation: string; readonly proven: boolean }
  | { readonly type: 'lease'; readonly lease: HeldLease }
  | { readonly type: 'worked'; readonly key: number; readonly workMs: number }
  | { readonly type: 'release'; readonly request: ReleaseRequest }
  | { readonly type: 'written'; readonly result: Either<RouterError, CollectionPutResult> }
  | { readonly type: 'read'; readonly result: Either<RouterError, CollectionItem | undefined> }
  | { readonly type: 'tick' }
  /** A held answer is due. */
  | { readonly type: 'due' };
