import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** What `BalanceTask` is created with. */
export interface BalanceOptions {
  readonly place: DaemonIdentity;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls another daemon; the reply is undefined if it cannot be reached. */
  readonly call: (address: string, method: string, params: unknown, reply: (result: unknown) => void) => void;
  readonly onRelease: (requests: readonly RangeReleaseRequest[]) => void;
}
