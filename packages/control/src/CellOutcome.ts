import type { Cell } from '#assignment/Cell.js';
import type { PendingWrite } from '#store/PendingWrite.js';

/** Result of writing a cell change; `failed` and `unchanged` mean that this change is certainly not in the store. */
export type CellOutcome =
  | { readonly type: 'accepted'; readonly cell: Cell }
  | { readonly type: 'unchanged'; readonly cell: Cell | undefined }
  | { readonly type: 'undecided'; readonly pending: readonly PendingWrite[] }
  | { readonly type: 'failed'; readonly code: string };
