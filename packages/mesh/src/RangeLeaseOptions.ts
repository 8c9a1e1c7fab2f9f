import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { LeaseTerms } from '#ranges/LeaseTerms.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { Place } from '#mesh/Place.js';

/** What `RangeLeaseTask` is created with. */
export interface RangeLeaseOptions {
  readonly place: Place;
  readonly processId: string;
  readonly terms: LeaseTerms;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  readonly onLease: (lease: HeldLease) => void;
}
