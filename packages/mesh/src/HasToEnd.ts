import type { LeaveTimes } from '#mesh/LeaveTimes.js';
import type { ServerState } from '#mesh/ServerState.js';

/** Time after the last admission to a leaving backend server in which queued requests may still start. */
const START_MARGIN_MS = 400;

/**
 * Whether the grace period in which a leaving or evacuated backend server may still receive requests is over.
 */
export function hasToEnd({ presence, evacuatedMs }: ServerState, grace: LeaveTimes, nowMs: number): boolean {
  const drainMs = presence.leavingMs === undefined ? 0 : nowMs - presence.leavingMs;
  const outMs = evacuatedMs === undefined ? 0 : nowMs - evacuatedMs;
  return drainMs > grace.keyedLeaveMs + START_MARGIN_MS || outMs > grace.keyedEvacuationMs + START_MARGIN_MS;
}
