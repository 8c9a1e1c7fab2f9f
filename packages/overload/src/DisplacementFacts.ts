/** State of a server's queue that the choice of displaced requests depends on. */
export interface DisplacementFacts<T> {
  /** Longest allowed queue. */
  readonly maxQueued: number;
  readonly nowMs: number;
  /** Whether a kind of request is below its minimum share. */
  readonly isOwed: (kind: string) => boolean;
  /** Expected time until a queued request gets a slot behind `workAheadMs` of work, in milliseconds. */
  readonly waitMs: (queued: T, workAheadMs: number) => number;
}
