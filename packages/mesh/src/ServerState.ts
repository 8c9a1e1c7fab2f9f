import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { Presence } from '#mesh/Presence.js';

/** What decides whether the backend server beside a daemon may receive an order. */
export interface ServerState {
  readonly presence: Presence;
  /** Whether the daemon ends and takes no new order. */
  readonly stopping: boolean;
  /** Whether its service's keys are owned. */
  readonly keyed: boolean;
  /** Requests a second that it tolerates while it is cold. */
  readonly coldPerSecond: number;
  readonly maxConnections: number;
  /** Monotonic time since which its failure domain is out; undefined if it is in. */
  readonly evacuatedMs: number | undefined;
  /** Monotonic time at which its failure domain came back; it is cold until it announces itself after that. */
  readonly returnedMs: number;
  readonly keys: GrantedKeys;
}
