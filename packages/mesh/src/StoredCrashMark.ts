import type { CrashMark } from '#admission/CrashMark.js';

/** A crash mark as the store contains it. */
export interface StoredCrashMark extends CrashMark {
  /** Wall-clock time of its last change at the daemon that set it, in milliseconds since the Unix epoch. */
  readonly markedMs: number;
}
