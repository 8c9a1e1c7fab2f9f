import type { Move } from '#assignment/Move.js';

/** Changes to the hot-key rows of a cell, by row id (`<placement>/key:<16 hex digits>`). */
export interface HotKeyPlan {
  /** Rows for keys that have none; the owner of their hash slot adds them with `splitHotKeys`. */
  readonly splits: readonly string[];
  /** Cold rows that have the same owner as their hash slot; the owner removes them with `mergeHotKeys`. */
  readonly merges: readonly string[];
  /** Moves of other cold rows to the owner of their hash slot. */
  readonly moves: readonly Move[];
}
