import { findRow } from '#ranges/FindRow.js';
import type { ServerState } from '#mesh/ServerState.js';

/** Whether the backend server holds a valid grant for a key. `elapsedMs` is a time of the elapsed clock. */
export function holdsKey({ keys }: ServerState, key: number | undefined, elapsedMs: number): boolean {
  return key !== undefined && elapsedMs < keys.untilMs && findRow(keys.held, key) !== undefined;
}
