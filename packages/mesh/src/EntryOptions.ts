import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** What `EntryTask` is created with. */
export interface EntryOptions {
  readonly place: DaemonIdentity;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  readonly chooser: ServerChooser;
  /** Part of the requests for a service that may be sent again, and the number that may be in any case. */
  readonly retryFraction: number;
  readonly retryMinimum: number;
  /** Sends an order to the daemon beside a backend server. */
  readonly send: (order: BackendRequest, server: ServerEntry, reply: BackendResultCallback) => void;
  readonly cancel: (id: string, server: ServerEntry) => void;
}
