import type { RecordedMove } from '#assignment/RecordedMove.js';

/** Limits of planned moves and the moves of the last minute that count against them. */
export interface MoveBudget {
  /** Balance moves in the whole cell that may begin within a minute. */
  readonly balancePerMinute: number;
  /** Time in which a leaving member is to be emptied, in milliseconds. */
  readonly drainMs: number;
  /** Shards that a member may receive for balance in 10 s; if it owned more before, it may double that number. */
  readonly fillPerMember: number;
  /** Shards that a failure domain may receive for balance in 10 s, by the same rule. */
  readonly fillPerDomain: number;
  readonly recent: readonly RecordedMove[];
}
