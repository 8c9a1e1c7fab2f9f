import { findRow } from '#ranges/FindRow.js';
import type { LeaveTimes } from '#mesh/LeaveTimes.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { ServerState } from '#mesh/ServerState.js';

/**
 * Decides whether the state of the backend server admits an order, apart from its room. Orders with a key stay with the
 * owner for a while when it leaves, until their keys have moved.
 */
export function checkAdmission(
  order: BackendRequest,
  state: ServerState,
  leave: LeaveTimes,
  nowMs: number,
): RefusalCode | undefined {
  const { presence, keyed, evacuatedMs, keys } = state;
  if (state.stopping) return 'stopping';
  if (presence.state === 'absent') return 'noServer';
  // The address of a backend server may have passed to one of another service.
  if (order.service !== presence.service) return 'otherService';
  if (presence.leavingMs !== undefined && (!keyed || nowMs - presence.leavingMs > leave.keyedLeaveMs))
    return 'draining';
  if (evacuatedMs !== undefined && (!keyed || nowMs - evacuatedMs > leave.keyedEvacuationMs))
    return 'evacuated';
  if (!keyed) return undefined;
  const { key } = order.request;
  if (key === undefined) return 'notOwner';
  if (findRow(keys.expected, key) !== undefined) return undefined;
  return findRow(keys.moving, key) === undefined ? 'notOwner' : 'moving';
}
