import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** Identity and collaborators of `PlannerTask`. */
export interface PlannerOptions {
  readonly identity: DaemonIdentity;
  readonly timings: LeaseTimings;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls a method of another daemon; the result is undefined if the call fails. */
  readonly call: (address: string, method: string, params: unknown, reply: (result: unknown) => void) => void;
}
