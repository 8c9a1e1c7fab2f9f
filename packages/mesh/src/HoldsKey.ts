import { findRow } from '#ranges/FindRow.js';
import type { ServerState } from '#mesh/ServerState.js';

/** Whether the backend server holds a key now. `elapsedMs` is elapsed time. */
export function holdsKey({ keys }: ServerState, key: number | undefined, elapsedMs: number): boolean {
  return key !== undefined && elapsedMs < keys.untilMs && findRow(keys.held, key) !== undefined;
}
