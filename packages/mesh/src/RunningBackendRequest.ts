import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** An order that runs at the backend server. */
export interface RunningBackendRequest {
  readonly order: BackendRequest;
  readonly link: ServerLink;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentMs: number;
  readonly expectedMs: number;
}
