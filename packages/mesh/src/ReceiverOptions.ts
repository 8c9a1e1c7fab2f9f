import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';

/** Address, collaborators and handlers of `ReceiverTask`. */
export interface ReceiverOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Store revision up to which this daemon has seen the changes of each watched collection. */
  readonly revisions: () => readonly number[];
  /** Receives the revisions that another daemon has seen. */
  readonly onHint: (revisions: readonly number[]) => void;
  readonly onRequest: (request: BackendRequest, reply: BackendResultCallback) => void;
  /** Handlers of the calls of other daemons, by method. */
  readonly calls: Readonly<Record<string, (params: unknown) => unknown>>;
}
