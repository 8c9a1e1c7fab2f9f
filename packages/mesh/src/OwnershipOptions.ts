import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { PlannerOptions } from '#mesh/PlannerOptions.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import type { RangeOptions } from '#mesh/RangeOptions.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** Identity, collaborators and callbacks of the tasks that manage key ownership. */
export interface OwnershipOptions {
  readonly identity: DaemonIdentity;
  readonly processId: string;
  /** `host:port` at which this daemon accepts requests of other daemons. */
  readonly address: string;
  readonly timings: LeaseTimings;
  /** Interval between announcements of the backend server, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  /** Creates the logger of the named task. */
  readonly createLogger: (component: string) => Logger;
  readonly isConfigured: PresenceOptions['isConfigured'];
  readonly onPresence: PresenceOptions['onPresence'];
  readonly onGranted: RangeOptions['onGranted'];
  readonly onFacts: RangeOptions['onFacts'];
  readonly call: PlannerOptions['call'];
}
