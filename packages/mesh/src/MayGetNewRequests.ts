import type { MeshView } from '#mesh/MeshView.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Whether a backend server may get new requests: it is ready, and not in an evacuated failure domain. */
export function mayGetNewRequests({ evacuated }: MeshView, { state, failureDomain }: ServerEntry): boolean {
  return state === 'ready' && !evacuated.has(failureDomain);
}
