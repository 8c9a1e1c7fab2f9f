import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys of the backend server beside a daemon. */
export interface GrantedKeys {
  /** Keys that it holds until `untilMs` of elapsed time. */
  readonly held: readonly KeyRange[];
  readonly untilMs: number;
  /** Keys that stand under this daemon in the table and are not being moved away. */
  readonly expected: readonly KeyRange[];
  /** Keys that it was told to release, and that have no other owner yet. */
  readonly moving: readonly KeyRange[];
}
