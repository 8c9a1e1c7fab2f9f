import type { Presence } from '#mesh/Presence.js';
import type { ServerRun } from '#mesh/ServerRun.js';

/** Describes a run of the backend server, or its absence, for a daemon of `service`. */
export function describePresence(
  state: Presence['state'],
  run: ServerRun | undefined,
  service: string,
): Presence {
  return {
    state,
    service: run?.announcement.service ?? service,
    address: run?.announcement.address ?? '',
    instanceId: run?.announcement.instanceId ?? '',
    incarnation: run?.incarnation ?? '',
    slots: run?.announcement.slots ?? 1,
    coldUntilMs: run?.coldUntilMs ?? 0,
    announcedMs: run?.announcedMs ?? 0,
    leavingMs: run?.leavingMs,
  };
}
