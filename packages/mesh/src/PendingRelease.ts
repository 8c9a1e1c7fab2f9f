import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Keys that the backend server is to release, and their next owner. */
export interface PendingRelease extends KeyRange {
  readonly owner: RangeOwner;
  /**
   * - `planned`: the backend server still serves them.
   * - `told`: the last answer to an announcement left them out.
   * - `free`: it holds them no longer, by a later announcement, the end of its grants or its death.
   */
  readonly step: 'planned' | 'told' | 'free';
  /** Monotonic time after which no earlier answer can still give it the keys; Infinity while it was not told. */
  readonly surelyToldMs: number;
}
