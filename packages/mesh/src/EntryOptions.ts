import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { HedgeOffer } from '#hedging/HedgeOffer.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { TenantGate } from '#mesh/TenantGate.js';

/** Dependencies and callbacks of `EntryTask`. */
export interface EntryOptions {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  readonly chooser: ServerChooser;
  readonly tenants: TenantGate;
  /**
   * Retry budget of each service: fraction of its requests that may be retried, and number of retries that are
   * always allowed.
   */
  readonly retryFraction: number;
  readonly retryMinimum: number;
  /** Sends a request to the daemon of a backend server. A request with an offer may be hedged. */
  readonly send: (
    request: BackendRequest,
    server: ServerEntry,
    reply: BackendResultCallback,
    offer: HedgeOffer<ServerEntry> | undefined,
  ) => void;
  /** Cancels a request that was sent, and its second copy. */
  readonly cancel: (id: string, server: ServerEntry) => void;
}
