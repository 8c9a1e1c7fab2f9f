import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Context of the chart `backend.json`: the last announcement and its time. */
export interface BackendChartContext {
  readonly facts: BackendFacts | undefined;
  /** Time of the last announcement on the monotonic clock, in milliseconds. */
  readonly announcedAtMs: number;
}
