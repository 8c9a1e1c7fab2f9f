import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { UnreachableServer } from '#mesh/UnreachableServer.js';

/** Identity, collaborators and callbacks of `RangeTask`. */
export interface RangeOptions {
  readonly identity: DaemonIdentity;
  readonly timings: LeaseTimings;
  /** Interval between announcements of the backend server, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  /** Receives the keys of the backend server whenever they may have changed. */
  readonly onGranted: (keys: GrantedKeys) => void;
  /** Reports that keys of an unreachable backend server cannot move before its last grant ends. */
  readonly onUnreachable: (server: UnreachableServer) => void;
  /** Reports that the service has owned keys, so that a lease is needed. */
  readonly onKeyed: () => void;
  readonly onFacts: (facts: LeaseReport) => void;
}
