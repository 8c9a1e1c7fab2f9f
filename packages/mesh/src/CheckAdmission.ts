import { findRow } from '#ranges/FindRow.js';
import type { LeaveTimes } from '#mesh/LeaveTimes.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { ServerState } from '#mesh/ServerState.js';

/**
 * Decides whether the state of the backend server admits a request, whatever its free capacity. While the backend server
 * drains, its keyed requests are still admitted for the `gracePeriods`, until the keys have moved.
 */
export function checkAdmission(
  request: BackendRequest,
  state: ServerState,
  gracePeriods: LeaveTimes,
  nowMs: number,
): RefusalCode | undefined {
  const { presence, keyed, evacuatedMs, keys } = state;
  if (state.stopping) return 'stopping';
  if (presence.state === 'absent') return 'noServer';
  // A backend server of another service may have been started at the same address.
  if (request.service !== presence.service) return 'otherService';
  if (presence.leavingMs !== undefined && (!keyed || nowMs - presence.leavingMs > gracePeriods.keyedLeaveMs))
    return 'draining';
  if (evacuatedMs !== undefined && (!keyed || nowMs - evacuatedMs > gracePeriods.keyedEvacuationMs))
    return 'evacuated';
  if (!keyed) return undefined;
  const { key } = request.callerRequest;
  if (key === undefined) return 'notOwner';
  if (findRow(keys.expected, key) !== undefined) return undefined;
  return findRow(keys.moving, key) === undefined ? 'notOwner' : 'moving';
}
