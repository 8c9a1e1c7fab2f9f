import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** What `ArrivalTask` is created with. */
export interface ArrivalOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  /** Times from the arrival of requests until work on them begins. */
  readonly delays: PhaseRecorder;
  /** Begins the work on a request. */
  readonly onRequest: (exchange: number, request: CallerRequest, reply: (reply: CallerReply) => void) => void;
  /** Told that the caller of a request left on which work has begun. */
  readonly onLeft: (exchange: number) => void;
}
