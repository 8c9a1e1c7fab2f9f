/** What a daemon asks of the holder of an entry's limits. */
export interface QuotaAsk {
  readonly entry: string;
  /** Server id of the asking daemon. */
  readonly client: string;
  /** Number of the newest slice that the daemon has applied; 0 for none. */
  readonly applied: number;
  /** Requests a second that the daemon expects. */
  readonly ratePerSecond: number;
  /** Concurrent requests that the daemon expects. */
  readonly concurrency: number;
  /** Requests in flight at the daemon. */
  readonly inFlight: number;
  /** Send time on the monotonic clock of the daemon, in milliseconds; the holder returns it unchanged. */
  readonly sentMs: number;
}
