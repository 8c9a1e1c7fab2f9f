import type { RecordedMove } from '#assignment/RecordedMove.js';

/** Limits of planned moves and the moves of the last minute that count against them. */
export interface MoveBudget {
  /** Moves for balance that may begin within a minute, for the whole cell. */
  readonly balancePerMinute: number;
  /** Time in which a member that leaves is to be empty, in milliseconds. */
  readonly drainMs: number;
  /** Shards that a member may receive for balance in 10 s; more if it owned more before, so that it doubles at most. */
  readonly fillPerMember: number;
  /** The same for a failure domain. */
  readonly fillPerDomain: number;
  readonly recent: readonly RecordedMove[];
}
