import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { Presence } from '#mesh/Presence.js';

/** State that decides whether the backend server beside a daemon may receive a request. */
export interface ServerState {
  readonly presence: Presence;
  /** Whether the daemon is stopping and accepts no new requests. */
  readonly stopping: boolean;
  /** Whether the service has keys with exclusive owners. */
  readonly keyed: boolean;
  /** Maximum number of requests per second while the server is warming up. */
  readonly coldPerSecond: number;
  readonly maxConnections: number;
  /** Monotonic time at which the failure domain was evacuated, in milliseconds; undefined if it is in service. */
  readonly evacuatedMs: number | undefined;
  /** Monotonic time at which the last evacuation ended. The server counts as cold until its next announcement. */
  readonly evacuationEndMs: number;
  readonly keys: GrantedKeys;
}
