/** The figures of a server's load report that decide whether it has room. */
export interface ServerLoad {
  /** Requests that the server is running. */
  readonly running: number;
  /** Requests that are queued at its daemon. */
  readonly queued: number;
  readonly slots: number;
  /** Expected wait of a request behind all queued ones, in milliseconds. */
  readonly waitMs: number;
  /** Average service time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Priority of the least urgent queued request that another one may displace; absent if there is none. */
  readonly leastUrgent?: number | undefined;
}
