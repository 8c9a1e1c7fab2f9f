import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { HedgeSettings } from '#hedging/HedgeSettings.js';

/** Dependencies and callbacks of `HedgeTask`. */
export interface HedgeOptions<R, S, T> {
  readonly settings: HedgeSettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  /** Histogram of the estimated time that each winning second copy has saved its caller. */
  readonly gains: PhaseRecorder;
  /** Sends one copy to the daemon of a backend server. */
  readonly send: (request: R, server: S, reply: (result: T) => void) => void;
  /** Cancels a copy that was sent. */
  readonly cancel: (id: string, server: S) => void;
}
