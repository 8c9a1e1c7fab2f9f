import type { ServerState } from '#mesh/ServerState.js';

/** State before the first announcement of the backend server and before the configuration is read. */
export const initialServerState: ServerState = Object.freeze<ServerState>({
  presence: {
    state: 'absent',
    service: '',
    address: '',
    instanceId: '',
    incarnation: '',
    slots: 1,
    coldUntilMs: 0,
    announcedMs: 0,
    leavingMs: undefined,
  },
  stopping: false,
  keyed: false,
  coldPerSecond: Infinity,
  maxConnections: Infinity,
  evacuatedMs: undefined,
  evacuationEndMs: 0,
  keys: { held: [], untilMs: 0, expected: [], moving: [] },
});
