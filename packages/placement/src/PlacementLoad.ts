/** Load of a backend server as its daemon reported it with a result. */
export interface PlacementLoad {
  /** Requests that the backend server runs, and those that are queued at its daemon. */
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** Expected wait of a request that arrived at the time of the report, in milliseconds. */
  readonly waitMs: number;
  /** Average service time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Factor by which work takes longer than usual on its VM. */
  readonly slowdown: number;
}
