import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Context of the chart `backend.json`. */
export interface BackendChartContext {
  readonly facts: BackendFacts | undefined;
  /** Monotonic time of the last announcement, in milliseconds. */
  readonly heardAtMs: number;
}
