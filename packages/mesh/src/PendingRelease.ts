import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';

/** A key range that the backend server has to release, and its next owner. */
export interface PendingRelease extends KeyRange {
  readonly owner: RangeOwner;
  /**
   * - `planned`: the backend server has not been told yet and still serves the keys.
   * - `told`: the last reply to an announcement left the keys out.
   * - `free`: the backend server no longer holds the keys: it announced so, its grants expired or its process ended.
   */
  readonly step: 'planned' | 'told' | 'free';
  /** Monotonic time from which no reply sent before `told` can grant the keys any more; Infinity while `planned`. */
  readonly earlierRepliesEndMs: number;
}
