import type { LeaveTimes } from '#mesh/LeaveTimes.js';
import type { ServerState } from '#mesh/ServerState.js';

/** Time after the last admission to a leaving backend server in which waiting orders still start, in milliseconds. */
const LAST_START_MS = 400;

/** Whether the time in which a leaving backend server may still receive orders is over. */
export function hasToEnd({ presence, evacuatedMs }: ServerState, leave: LeaveTimes, nowMs: number): boolean {
  const leftMs = presence.leavingMs === undefined ? 0 : nowMs - presence.leavingMs;
  const outMs = evacuatedMs === undefined ? 0 : nowMs - evacuatedMs;
  return leftMs > leave.keyedLeaveMs + LAST_START_MS || outMs > leave.keyedEvacuationMs + LAST_START_MS;
}
