import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';

/** Identity, collaborators and callback of `QuotaTask`. */
export interface QuotaTaskOptions {
  readonly serverId: string;
  /** Identifies this run of the daemon. */
  readonly processId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls the method `quota` of another daemon; the result is undefined if it cannot be reached. */
  readonly call: (address: string, params: unknown, reply: (result: unknown) => void) => void;
}
