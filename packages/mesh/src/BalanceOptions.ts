import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { Place } from '#mesh/Place.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';

/** What `BalanceTask` is created with. */
export interface BalanceOptions {
  readonly place: Place;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls another daemon; the reply is undefined if it cannot be reached. */
  readonly call: (address: string, method: string, params: unknown, reply: (result: unknown) => void) => void;
  readonly onRelease: (requests: readonly ReleaseRequest[]) => void;
}
