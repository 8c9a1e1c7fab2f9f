import type { Move } from '#assignment/Move.js';

/** A planned move and the time at which it was begun, on the planner's monotonic clock in milliseconds. */
export interface RecordedMove extends Move {
  readonly atMs: number;
}
