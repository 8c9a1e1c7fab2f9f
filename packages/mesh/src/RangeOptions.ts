import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** What `RangeTask` is created with. */
export interface RangeOptions {
  readonly place: DaemonIdentity;
  readonly terms: LeaseTimings;
  /** Usual time between two announcements, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  /** Told the keys of the backend server after each change. */
  readonly onGranted: (keys: GrantedKeys) => void;
  /** Told that the service's keys are owned, so that a lease is needed. */
  readonly onKeyed: () => void;
  readonly onFacts: (facts: LeaseFacts) => void;
}
