/** Load of a backend server as its daemon sees it. */
export interface LoadReport {
  /** Orders that run at the backend server. */
  readonly running: number;
  /** Orders that wait at its daemon. */
  readonly queued: number;
  readonly slots: number;
  /** Expected wait of an order that arrives now, in milliseconds. */
  readonly waitMs: number;
  /** Average time that the backend server takes for an order, in milliseconds. */
  readonly serviceMs: number;
  /** Factor by which work takes longer than usual on that VM at this moment. */
  readonly slowdown: number;
}
