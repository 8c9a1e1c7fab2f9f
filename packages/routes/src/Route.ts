import type { SplitTarget } from '#routes/SplitTarget.js';

/** How requests of one host below one path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  readonly targets: readonly SplitTarget[];
  /** Longest time from the arrival of a request to its answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency within which an answer is worth most to the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Backend servers to which one request may be sent at most. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Regions in which requests may be served; empty for any. */
  readonly homeRegions: readonly string[];
}
