/** State of a request that waits until the owner of its key can take it. Times are monotonic, in milliseconds. */
export interface OwnerWait {
  readonly sinceMs: number;
  /** Time at which the wait ends and the caller is refused. */
  readonly untilMs: number;
  /** Delay before the request is sent again if the view does not change. */
  readonly retryMs: number;
}
