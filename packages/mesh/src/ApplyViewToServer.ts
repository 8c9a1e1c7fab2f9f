import type { Place } from '#mesh/Place.js';
import type { ServerState } from '#mesh/ServerState.js';
import type { View } from '#mesh/View.js';

/** Takes over what a new view says of the service and of the failure domain. */
export function applyViewToServer(state: ServerState, view: View, place: Place, nowMs: number): ServerState {
  const facts = view.routes?.table.services.get(place.service);
  const isOut = view.evacuated.has(place.failureDomain);
  const wasOut = state.evacuatedMs !== undefined;
  return {
    ...state,
    keyed: facts?.keyed ?? state.keyed,
    coldPerSecond: facts?.coldPerSecond ?? state.coldPerSecond,
    maxConnections: facts?.maxConnections ?? state.maxConnections,
    evacuatedMs: isOut ? (state.evacuatedMs ?? nowMs) : undefined,
    returnedMs: wasOut && !isOut ? nowMs : state.returnedMs,
  };
}
