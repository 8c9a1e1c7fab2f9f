import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** Dependencies and callbacks of `ArrivalTask`. */
export interface ArrivalOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  /**
   * Histogram of the times between the arrival of a request and the start of its processing, in microseconds.
   */
  readonly delays: PhaseRecorder;
  /** Called to start processing a request. */
  readonly onRequest: (exchange: number, request: CallerRequest, reply: (reply: CallerReply) => void) => void;
  /** Called when the caller of a request that is being processed has closed its connection. */
  readonly onLeft: (exchange: number) => void;
}
