/** Load of a backend server as measured by its daemon. */
export interface LoadReport {
  /** Requests that the backend server is running. */
  readonly running: number;
  /** Requests that are queued at the daemon. */
  readonly queued: number;
  readonly slots: number;
  /** Expected wait of a request that arrives now, in milliseconds. */
  readonly waitMs: number;
  /** Average service time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Factor by which work on its VM takes longer than usual now. */
  readonly slowdown: number;
  /** Priority of the least urgent queued request that another one may displace; absent if there is none. */
  readonly leastUrgent?: number | undefined;
}
