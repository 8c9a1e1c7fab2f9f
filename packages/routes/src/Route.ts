import type { SplitTarget } from '#routes/SplitTarget.js';

/** Handling of the requests for one host whose paths have one prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  readonly targets: readonly SplitTarget[];
  /** Longest time from the arrival of a request to its response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency within which a response has its full value for the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Number of backend servers that one request may reach. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Regions in which requests may be served; any region if empty. */
  readonly homeRegions: readonly string[];
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}
