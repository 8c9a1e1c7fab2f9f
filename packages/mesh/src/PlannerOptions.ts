import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** What `PlannerTask` is created with. */
export interface PlannerOptions {
  readonly place: DaemonIdentity;
  readonly terms: LeaseTimings;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls another daemon; the reply is undefined if it cannot be reached. */
  readonly call: (address: string, method: string, params: unknown, reply: (result: unknown) => void) => void;
}
