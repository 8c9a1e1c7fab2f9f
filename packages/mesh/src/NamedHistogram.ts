import type { PhaseRecorder } from '#metrics/PhaseRecorder.js';

/** A histogram as it is served at the metrics address. */
export interface NamedHistogram {
  /** Name of the metric, which ends with its unit. */
  readonly name: string;
  readonly help: string;
  readonly recorder: PhaseRecorder;
}
