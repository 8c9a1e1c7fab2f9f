import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { ServerState } from '#mesh/ServerState.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Updates the state with the view's settings of the service and the evacuation of the failure domain. */
export function applyViewToServer(
  state: ServerState,
  view: MeshView,
  place: DaemonIdentity,
  nowMs: number,
): ServerState {
  const facts = view.routes?.table.services.get(place.service);
  const isOut = view.evacuated.has(place.failureDomain);
  const wasOut = state.evacuatedMs !== undefined;
  return {
    ...state,
    keyed: facts?.keyed ?? state.keyed,
    coldPerSecond: facts?.coldPerSecond ?? state.coldPerSecond,
    maxConnections: facts?.maxConnections ?? state.maxConnections,
    evacuatedMs: isOut ? (state.evacuatedMs ?? nowMs) : undefined,
    evacuationEndMs: wasOut && !isOut ? nowMs : state.evacuationEndMs,
  };
}
