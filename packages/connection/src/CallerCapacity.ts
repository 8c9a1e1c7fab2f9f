/** How much of a VM the callers of a daemon may use. */
export interface CallerCapacity {
  /** Open connections; the one that has been idle for longest ends for a new one. */
  readonly maxConnections: number;
  /** Bytes of a request's head, and of anything else that precedes it on its connection. */
  readonly maxHeadBytes: number;
  /** Bytes of responses that callers have not read yet. */
  readonly maxUnsentBytes: number;
}
