import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';

/** What `ReceiverTask` is created with. */
export interface ReceiverOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Revisions of the store up to which this daemon knows changes. */
  readonly revisions: () => readonly number[];
  /** Told the revisions that another daemon knows. */
  readonly onHint: (revisions: readonly number[]) => void;
  readonly onOrder: (order: BackendRequest, reply: BackendResultCallback) => void;
  /** Handlers of the calls between daemons, by method. */
  readonly calls: Readonly<Record<string, (params: unknown) => unknown>>;
}
