import type { CallerCapacity } from '#connection/CallerCapacity.js';
import type { Clock } from '#core/Clock.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { HedgeSettings } from '#hedging/HedgeSettings.js';
import type { Address } from '#mesh/Address.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { RouteDecoder } from '#mesh/RouteDecoder.js';

/** Identity, addresses, collaborators and limits of a daemon. */
export interface NodeOptions {
  readonly identity: DaemonIdentity;
  /** Identifies this run of the daemon. */
  readonly processId: string;
  /** Address for callers. */
  readonly callers: Address;
  readonly callerCapacity: CallerCapacity;
  /** Address for other daemons. */
  readonly peers: Address;
  /** Address at which the platform asks whether callers should use this daemon. */
  readonly readiness: Address;
  /** Address at which metrics are served; undefined if they are not served. */
  readonly metrics: Address | undefined;
  readonly headers: HeaderNames;
  readonly store: CollectionStore;
  readonly decoder: RouteDecoder;
  readonly clock: Clock;
  readonly timings: LeaseTimings;
  readonly announceEveryMs: number;
  /** Time after its leave in which a backend server still receives requests, in milliseconds. */
  readonly drainMs: number;
  /** Time after an evacuation in which the backend servers of the domain still receive requests, in milliseconds. */
  readonly evacuateMs: number;
  /** Time from the stop signal until the platform kills the process, in milliseconds. */
  readonly graceMs: number;
  readonly retryFraction: number;
  /** Retries that all daemons together may make whatever the number of requests. */
  readonly retrySlack: number;
  readonly hedging: HedgeSettings;
  /** Seed of the random number generator. */
  readonly seed: number;
}
