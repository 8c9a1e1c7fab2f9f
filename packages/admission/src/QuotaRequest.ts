import type { RateLimits } from '#admission/RateLimits.js';

/** Request of a daemon to the quota holder of an entry for a part of its limits. */
export interface QuotaRequest {
  readonly entry: string;
  /** Server id and incarnation of the daemon; after a restart it is a different client. */
  readonly client: string;
  /** Number of the last grant that the daemon has applied; 0 for none. */
  readonly applied: number;
  /** Limits of the grant that the daemon holds at `sentMs`; zeros if it holds no valid one. */
  readonly held: RateLimits;
  /** Requests per second that the daemon expects. */
  readonly ratePerSecond: number;
  /** Requests in flight that the daemon expects. */
  readonly concurrency: number;
  /** Requests in flight at the daemon beyond its reserved share. */
  readonly inFlight: number;
  /** Send time on the monotonic clock of the daemon, in milliseconds; the holder copies it into the grant. */
  readonly sentMs: number;
}
