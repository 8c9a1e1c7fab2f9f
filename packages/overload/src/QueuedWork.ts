/** A request that waits for a slot. Times are monotonic, in milliseconds. */
export interface QueuedWork {
  readonly request: {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time after which the response misses the target latency. */
    readonly targetMs: number;
    /** Deadline of the response. */
    readonly dueMs: number;
  };
  /** Expected service time. */
  readonly serviceMs: number;
  /** Whether running work waits for it. */
  readonly isShort: boolean;
  /** Kind of request, by which minimum shares are counted. */
  readonly kind: string;
}
