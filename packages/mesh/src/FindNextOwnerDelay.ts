import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Time in which freed keys reach their next owner: a write of the table, its watch, and a reply with the grant. */
const MOVE_MS = 300;

/** Longest time for which a server may hold keys; a later end is an error of a clock. */
const MAX_HOLD_MS = 10_000;

/**
 * Returns the time after which the keys of an unreachable server have another owner, in milliseconds; undefined if that is
 * not known, or if it has passed.
 */
export function findNextOwnerDelay(owner: ServerEntry | undefined, wallMs: number): number | undefined {
  if (owner?.state !== 'absent' || owner.keysFreeMs === undefined) return undefined;
  const delayMs = owner.keysFreeMs + MOVE_MS - wallMs;
  return delayMs > 0 && delayMs <= MAX_HOLD_MS + MOVE_MS ? delayMs : undefined;
}
