import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CallerCapacity } from '#connection/CallerCapacity.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

/** Address, dependencies and callbacks of `CallerTask`. */
export interface CallerOptions {
  readonly host: string;
  readonly port: number;
  readonly headers: HeaderNames;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  readonly capacity: CallerCapacity;
  /** Called for each accepted connection. */
  readonly onAccepted: () => void;
  readonly onRequest: (exchange: number, request: CallerRequest, reply: (reply: CallerReply) => void) => void;
  /** Called when a caller closes its connection before it received a response. */
  readonly onLeft: (exchange: number) => void;
}
