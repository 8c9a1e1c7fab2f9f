import type { Cell } from '#assignment/Cell.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { Intent } from '#control/Intent.js';
import type { ShardRecords } from '#once/ShardRecords.js';

/** Messages to `MoveTask`. */
export type MoveMessage =
  | { readonly type: 'cell'; readonly cell: Cell }
  | { readonly type: 'intent'; readonly intent: Intent }
  /** Requests a second by shard id, measured by this daemon for its own shards. */
  | { readonly type: 'load'; readonly requestsPerSecond: ReadonlyMap<string, number> }
  | {
      readonly type: 'peerLoad';
      readonly serverId: string;
      readonly requestsPerSecond: ReadonlyMap<string, number>;
    }
  | { readonly type: 'released'; readonly transferId: number; readonly records: ShardRecords }
  | { readonly type: 'releaseExpired'; readonly transferId: number }
  /** Result of the hand-over; the incarnation of the new owner is undefined if it did not confirm. */
  | { readonly type: 'sent'; readonly transferId: number; readonly incarnation: string | undefined }
  | { readonly type: 'written'; readonly transferId: number; readonly outcome: CellOutcome }
  | { readonly type: 'tick' };
