import type { CollectionItem } from '#store/CollectionItem.js';
import type { EraChange } from '#store/EraChange.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import type { EndOfUse } from '#mesh/EndOfUse.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages to `RangeTask`. */
export type RangeMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'checkIn'; readonly checkIn: CheckIn }
  /** A run of the backend server is not used any longer; its keys are to move. */
  | { readonly type: 'ended'; readonly incarnation: string; readonly reason: EndOfUse }
  | { readonly type: 'lease'; readonly lease: HeldLease }
  /** A request for a key arrived whose expected service time is `workMs`. */
  | { readonly type: 'demanded'; readonly key: number; readonly workMs: number }
  | { readonly type: 'release'; readonly requests: readonly RangeReleaseRequest[] }
  | { readonly type: 'eraChanged'; readonly change: EraChange }
  /** The table as it was read after a restore of the store in `era`; undefined if there is none. */
  | { readonly type: 'restored'; readonly era: number; readonly item: CollectionItem | undefined }
  /** A write of the table has ended; `item` is the stored table, undefined if it could not be read. */
  | { readonly type: 'settled'; readonly item: CollectionItem | undefined }
  /** The daemon was asked to stop; the backend server keeps its keys until the next process of the daemon grants them. */
  | { readonly type: 'stopRequested' }
  /** The daemon stops. The reply tells whether it owns keys that its backend server no longer holds. */
  | { readonly type: 'stopping'; readonly reply: (isFree: boolean) => void }
  | { readonly type: 'tick' }
  /** A held reply may be due. */
  | { readonly type: 'due' };
