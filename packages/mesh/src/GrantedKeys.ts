import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys of a daemon's backend server. */
export interface GrantedKeys {
  /** Keys granted until `untilMs`, a time of the elapsed clock. */
  readonly held: readonly KeyRange[];
  readonly untilMs: number;
  /** Keys that it owns in the range table and that are not being moved away. */
  readonly expected: readonly KeyRange[];
  /** Keys that it was asked to release and that have no next owner in the table yet. */
  readonly moving: readonly KeyRange[];
}
