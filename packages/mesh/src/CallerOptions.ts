import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

/** What `CallerTask` is created with. */
export interface CallerOptions {
  readonly host: string;
  readonly port: number;
  readonly headers: HeaderNames;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Told of each connection that was accepted. */
  readonly onAccepted: () => void;
  readonly onRequest: (exchange: number, request: CallerRequest, reply: (reply: CallerReply) => void) => void;
  readonly onLeft: (exchange: number) => void;
}
