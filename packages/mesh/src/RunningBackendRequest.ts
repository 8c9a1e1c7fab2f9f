import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** A request that was sent to the backend server and has no response yet. */
export interface RunningBackendRequest {
  readonly request: BackendRequest;
  readonly link: ServerLink;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentMs: number;
  readonly expectedMs: number;
}
