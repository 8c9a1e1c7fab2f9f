import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

/** Dependencies and callbacks of `BalanceTask`. */
export interface BalanceOptions {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls a method of another daemon; the result is undefined if it cannot be reached. */
  readonly call: (address: string, method: string, params: unknown, reply: (result: unknown) => void) => void;
  /** Called with the keys to give to other owners. */
  readonly onRelease: (requests: readonly RangeReleaseRequest[]) => void;
}
