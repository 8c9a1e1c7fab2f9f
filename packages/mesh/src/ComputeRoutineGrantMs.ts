import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Replies in a row that may fail to reach a live backend server without costing it its keys. */
const MISSED_REPLIES = 1;

/** Time by which announcements and replies may be late besides, in milliseconds. */
const SPARE_MS = 500;

/**
 * Computes the duration of an ordinary grant, counted from its announcement, in milliseconds. It lasts until the reply to
 * a later announcement arrives, even if replies are missed. A longer one would only delay the move of the keys of a server
 * that ends without a word, since they stay with it until the grant has run out.
 */
export function computeRoutineGrantMs(
  announceEveryMs: number,
  replyDelayMs: number,
  { maxGrantMs }: LeaseTimings,
): number {
  const neededMs = replyDelayMs + (1 + MISSED_REPLIES) * announceEveryMs + SPARE_MS;
  return Math.min(maxGrantMs, Math.round(neededMs));
}
