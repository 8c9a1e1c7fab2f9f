import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { PlannerOptions } from '#mesh/PlannerOptions.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import type { RangeOptions } from '#mesh/RangeOptions.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** What `OwnershipTasks` is created with. */
export interface OwnershipOptions {
  readonly place: DaemonIdentity;
  readonly processId: string;
  /** `host:port` at which this daemon takes orders. */
  readonly address: string;
  readonly terms: LeaseTimings;
  /** Usual time between two announcements, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  /** Creates the logger of a task. */
  readonly createLogger: (component: string) => Logger;
  readonly isConfigured: PresenceOptions['isConfigured'];
  readonly onPresence: PresenceOptions['onPresence'];
  readonly onDoubt: PresenceOptions['onDoubt'];
  readonly onGranted: RangeOptions['onGranted'];
  readonly onFacts: RangeOptions['onFacts'];
  readonly call: PlannerOptions['call'];
}
