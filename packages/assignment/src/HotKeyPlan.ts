import type { Move } from '#assignment/Move.js';

/** Changes to the hot-key rows of a cell, by row id (`<placement>/key:<16 hex digits>`). */
export interface HotKeyPlan {
  /** Keys that get a row of their own, created by the owner of their hash slot with `splitHotKeys`. */
  readonly splits: readonly string[];
  /** Cold rows beside their hash slot, removed by its owner with `foldHotKeys`. */
  readonly folds: readonly string[];
  /** Moves of other cold rows to the owner of their hash slot. */
  readonly moves: readonly Move[];
}
