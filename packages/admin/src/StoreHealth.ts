/** State of the object store as one daemon sees it. */
export interface StoreHealth {
  readonly reachable: boolean;
  /** Time since the last successful call, in milliseconds. */
  readonly lastSuccessMs: number;
  /** Calls per second, averaged over the last minute. A long-polling watch counts as one call. */
  readonly callsPerSecond: number;
  /** Number of failed calls since the daemon started. */
  readonly failures: number;
}
