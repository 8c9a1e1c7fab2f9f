import type { Clock } from '#core/Clock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { Address } from '#mesh/Address.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { RouteDecoder } from '#mesh/RouteDecoder.js';

/** What a daemon is created with. */
export interface NodeOptions {
  readonly place: DaemonIdentity;
  /** Identifies this run of the daemon. */
  readonly processId: string;
  /** Where callers connect. */
  readonly callers: Address;
  /** Where other daemons connect. */
  readonly orders: Address;
  /** Where the platform asks whether callers should use this daemon. */
  readonly readiness: Address;
  /** Where metrics are read; undefined for nowhere. */
  readonly metrics: Address | undefined;
  readonly headers: HeaderNames;
  readonly store: CollectionStore;
  readonly decoder: RouteDecoder;
  readonly clock: Clock;
  readonly terms: LeaseTimings;
  readonly announceEveryMs: number;
  /** Time in which a leaving backend server may still receive orders, in milliseconds. */
  readonly drainMs: number;
  /** The same for a failure domain that operators took out, in milliseconds. */
  readonly evacuateMs: number;
  /** Time from the request to stop until the process is ended from outside, in milliseconds. */
  readonly graceMs: number;
  readonly retryFraction: number;
  /** Repeats of all daemons together that are allowed in any case. */
  readonly retrySlack: number;
  /** Seed of random choices. */
  readonly seed: number;
}
