import type { CollectionItem } from '#store/CollectionItem.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages of `RangeTask`. */
export type RangeMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'checkIn'; readonly checkIn: CheckIn }
  | { readonly type: 'ended'; readonly incarnation: string; readonly proven: boolean }
  | { readonly type: 'lease'; readonly lease: HeldLease }
  /** An order for a key arrived that takes about `workMs` of work. */
  | { readonly type: 'demanded'; readonly key: number; readonly workMs: number }
  | { readonly type: 'release'; readonly requests: readonly RangeReleaseRequest[] }
  /** The table as it stands after a write of this daemon. */
  | { readonly type: 'settled'; readonly item: CollectionItem | undefined }
  /** The daemon ends. The reply tells whether keys stand under its term that its backend server holds no longer. */
  | { readonly type: 'stopping'; readonly reply: (isFree: boolean) => void }
  | { readonly type: 'tick' }
  /** A held answer is due. */
  | { readonly type: 'due' };
