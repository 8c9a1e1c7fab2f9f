import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { ServerState } from '#mesh/ServerState.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Updates the state with the view's settings of the service and the evacuation of the failure domain. */
export function applyViewToServer(
  state: ServerState,
  view: MeshView,
  identity: DaemonIdentity,
  nowMs: number,
): ServerState {
  const settings = view.routes?.table.services.get(identity.service);
  const isEvacuated = view.evacuated.has(identity.failureDomain);
  const wasEvacuated = state.evacuatedMs !== undefined;
  return {
    ...state,
    keyed: settings?.keyed ?? state.keyed,
    coldPerSecond: settings?.coldPerSecond ?? state.coldPerSecond,
    maxConnections: settings?.maxConnections ?? state.maxConnections,
    evacuatedMs: isEvacuated ? (state.evacuatedMs ?? nowMs) : undefined,
    evacuationEndMs: wasEvacuated && !isEvacuated ? nowMs : state.evacuationEndMs,
  };
}
