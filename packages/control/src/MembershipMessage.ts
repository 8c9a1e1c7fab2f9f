import type { Cell } from '#assignment/Cell.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { Directory } from '#control/Directory.js';
import type { Intent } from '#control/Intent.js';
import type { RegistrationRequest } from '#control/RegistrationRequest.js';

/** Requests and updates for the task that manages this daemon's membership in its cell. */
export type MembershipMessage =
  | { readonly type: 'start'; readonly home: CellHome }
  /** A newer version of this daemon's cell. */
  | { readonly type: 'cell'; readonly cell: Cell }
  | { readonly type: 'directory'; readonly directory: Directory }
  | { readonly type: 'catalogue'; readonly catalogue: Catalogue }
  | { readonly type: 'intent'; readonly intent: Intent }
  /** End of the lease on the monotonic clock, in milliseconds. */
  | { readonly type: 'lease'; readonly leaseEndMs: number }
  /** The lease holder needs a new epoch. */
  | {
      readonly type: 'register';
      readonly reason: RegistrationRequest['reason'];
      readonly silentWitnesses: readonly string[];
    }
  | { readonly type: 'registerEnded'; readonly outcome: CellOutcome; readonly replaced: boolean }
  | { readonly type: 'retry' }
  /** Moves all shards away and leaves the cell; replies when the daemon has left. */
  | { readonly type: 'drain'; readonly reply: () => void }
  | { readonly type: 'drainRetry' }
  /** Requests a takeover of the shards that a drain has not moved. */
  | { readonly type: 'resign' }
  | { readonly type: 'leaveEnded'; readonly outcome: CellOutcome }
  /** A peer answered a probe of this isolated member. */
  | { readonly type: 'reachable' }
  /** Replies with the state of charts/membership.json. */
  | { readonly type: 'status'; readonly reply: (membership: string) => void }
  | { readonly type: 'tick' };
