/** State of the object store as one daemon sees it. */
export interface StoreHealth {
  readonly reachable: boolean;
  /** Time since the last successful call, in milliseconds. */
  readonly lastSuccessMs: number;
  /** Calls a second, averaged over the last minute; a waiting watch is one call. */
  readonly callsPerSecond: number;
  readonly failures: number;
}
