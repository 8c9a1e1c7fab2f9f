import type { Cell } from '#assignment/Cell.js';
import type { RouterError } from '#core/RouterError.js';
import type { CataloguePatch } from '#catalogue/CataloguePatch.js';
import type { CatalogueResponse } from '#control/CatalogueResponse.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { Digest } from '#control/Digest.js';
import type { DigestCall } from '#control/DigestCall.js';
import type { Directory } from '#control/Directory.js';
import type { PutObject } from '#control/PutObject.js';
import type { PutOutcome } from '#control/PutOutcome.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import type { SharedObject } from '#control/SharedObject.js';
import type { SpreadStatus } from '#control/SpreadStatus.js';
import type { Either } from 'purify-ts';

/** Requests and updates for the task that distributes the catalogue and the intent. */
export type SpreadMessage =
  | { readonly type: 'start' }
  | { readonly type: 'tick' }
  | { readonly type: 'seen'; readonly digest: Digest; readonly from: string }
  /** A digest call of a peer. */
  | {
      readonly type: 'digest';
      readonly call: DigestCall;
      readonly from: string;
      readonly reply: (response: DigestCall) => void;
    }
  /** Load of this daemon's shards. */
  | { readonly type: 'load'; readonly loads: ShardLoads }
  | { readonly type: 'adopt'; readonly object: SharedObject }
  | { readonly type: 'adoptPatches'; readonly patches: readonly CataloguePatch[]; readonly peer: PeerAddress }
  | {
      readonly type: 'readSince';
      readonly since: number;
      readonly reply: (response: CatalogueResponse | undefined) => void;
    }
  | { readonly type: 'ownCell'; readonly name: string; readonly cell: Cell }
  | { readonly type: 'directory'; readonly directory: Directory }
  | {
      readonly type: 'read';
      readonly name: SharedObject['name'];
      readonly reply: (object: SharedObject | undefined) => void;
    }
  | {
      readonly type: 'put';
      readonly change: PutObject;
      readonly reply: (outcome: Either<RouterError, PutOutcome>) => void;
    }
  | { readonly type: 'watchEnded'; readonly name: SharedObject['name']; readonly failed: boolean }
  | { readonly type: 'watchDue'; readonly name: SharedObject['name'] }
  | { readonly type: 'fetchEnded'; readonly name: SharedObject['name'] }
  | { readonly type: 'status'; readonly reply: (status: SpreadStatus) => void };
