import type { RateLimits } from '#admission/RateLimits.js';

/** What a daemon asks of the holder of an entry's limits. */
export interface QuotaRequest {
  readonly entry: string;
  /** Server id and incarnation of the asking daemon; another process on the same VM is another client. */
  readonly client: string;
  /** Number of the newest slice that the daemon has applied; 0 for none. */
  readonly applied: number;
  /** Limits of the slice that the daemon holds at `sentMs`; zeros without a valid one. */
  readonly held: RateLimits;
  /** Requests a second that the daemon expects. */
  readonly ratePerSecond: number;
  /** Concurrent requests that the daemon expects. */
  readonly concurrency: number;
  /** Requests in flight at the daemon beyond its safe share. */
  readonly inFlight: number;
  /** Send time on the monotonic clock of the daemon, in milliseconds; the holder returns it unchanged. */
  readonly sentMs: number;
}
