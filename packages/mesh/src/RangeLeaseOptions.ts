import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** Identity, collaborators and callback of `RangeLeaseTask`. */
export interface RangeLeaseOptions {
  readonly identity: DaemonIdentity;
  readonly processId: string;
  readonly timings: LeaseTimings;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  readonly onLease: (lease: HeldLease) => void;
}
