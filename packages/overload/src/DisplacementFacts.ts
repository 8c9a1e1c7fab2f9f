/** State of a server's queue that the choice of displaced requests depends on. */
export interface DisplacementFacts {
  /** Longest allowed queue. */
  readonly maxQueued: number;
  readonly nowMs: number;
  /** Whether a kind of request is below its minimum share. */
  readonly isOwed: (kind: string) => boolean;
  /** Expected time until a slot is free behind `workAheadMs` of queued work, in milliseconds. */
  readonly waitMs: (workAheadMs: number) => number;
}
