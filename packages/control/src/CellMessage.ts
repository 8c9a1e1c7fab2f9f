import type { Cell } from '#assignment/Cell.js';
import type { Move } from '#assignment/Move.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { CellStatus } from '#control/CellStatus.js';
import type { Intent } from '#control/Intent.js';
import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';
import type { SuspectReport } from '#control/SuspectReport.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { PendingWrite } from '#store/PendingWrite.js';

/** Requests and updates for the task that holds and writes cells. */
export type CellMessage =
  | { readonly type: 'start'; readonly home: CellHome }
  | { readonly type: 'catalogue'; readonly catalogue: Catalogue }
  | { readonly type: 'intent'; readonly intent: Intent }
  /** This daemon's lease changed; `leaseEndMs` is monotonic. */
  | { readonly type: 'lease'; readonly epoch: number; readonly leaseEndMs: number }
  | { readonly type: 'suspect'; readonly report: SuspectReport }
  | { readonly type: 'takeOver' }
  | { readonly type: 'fenceSatisfied'; readonly fenceId: number }
  | { readonly type: 'clearFences' }
  /** A version of a cell that the store accepted. */
  | { readonly type: 'adopt'; readonly cell: Cell }
  /** Another daemon holds this version of a cell. */
  | { readonly type: 'seen'; readonly name: string; readonly version: number; readonly from: PeerAddress }
  /** The version `minVersion` or a newer one exists; `from` is the server that holds it, if known. */
  | {
      readonly type: 'refresh';
      readonly name: string;
      readonly minVersion: number;
      readonly from?: string;
    }
  | {
      readonly type: 'fetch';
      readonly name: string;
      readonly minVersion: number;
      readonly reply: (cell: Cell | undefined) => void;
    }
  | { readonly type: 'read'; readonly name: string; readonly reply: (cell: Cell | undefined) => void }
  | { readonly type: 'fetchEnded'; readonly name: string; readonly cell: Cell | undefined }
  /** Stops the use of shards that are moved away, and then sends the requests to the request path. */
  | { readonly type: 'withhold'; readonly requests: readonly ShardReleaseRequest[] }
  /** The transfer of these shards ended; those that are still owned may be used again. */
  | { readonly type: 'restore'; readonly shardIds: readonly string[] }
  /** Writes planned moves to one member; `incarnation` is the process that received the records. */
  | {
      readonly type: 'complete';
      readonly moves: readonly Move[];
      readonly to: string;
      readonly incarnation: string;
      readonly reply: (outcome: CellOutcome) => void;
    }
  /** Changes this daemon's cell; nothing is written if `change` returns undefined or the same cell. */
  | {
      readonly type: 'change';
      /** Name of the change for the log. */
      readonly changeName: string;
      readonly change: (cell: Cell) => Cell | undefined;
      /** Earlier writes of this change whose results are unknown. */
      readonly pending: readonly PendingWrite[];
      readonly reply: (outcome: CellOutcome) => void;
    }
  /** Reads cells of other services if this daemon's cell has too few members in the region, and then replies. */
  | { readonly type: 'findWitnesses'; readonly reply: () => void }
  | { readonly type: 'status'; readonly reply: (status: CellStatus) => void }
  | { readonly type: 'tick' };
