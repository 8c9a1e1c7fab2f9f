/** A request's wait for the owner of its key. Times are monotonic, in milliseconds. */
export interface OwnerWait {
  readonly sinceMs: number;
  /** Time at which the caller is refused. */
  readonly untilMs: number;
  /** Pause before the owner is asked again if the view does not change. */
  readonly retryMs: number;
}
