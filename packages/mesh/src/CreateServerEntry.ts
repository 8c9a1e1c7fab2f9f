import type { LeaveRecord } from '#mesh/LeaveRecord.js';
import type { Presence } from '#mesh/Presence.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { ServerRun } from '#mesh/ServerRun.js';

type Publisher = Pick<PresenceOptions, 'identity' | 'address' | 'processId'>;

/**
 * Creates the entry in which a daemon publishes itself, its lease's term, the first era of the store that it knew, and the
 * run of the backend server beside it.
 */
export function createServerEntry(
  { identity, address, processId }: Publisher,
  presence: Presence,
  run: ServerRun | undefined,
  term: number,
  bornEra: number,
): ServerEntry {
  const leave = run === undefined ? undefined : describeLeave(run);
  return {
    serverId: identity.serverId,
    address,
    failureDomain: identity.failureDomain,
    region: identity.region,
    service: presence.service,
    instanceId: presence.instanceId,
    incarnation: presence.incarnation,
    state: presence.state,
    slots: presence.slots,
    term,
    processId,
    ...(bornEra === 0 ? {} : { bornEra }),
    ...(leave === undefined ? {} : { leave }),
  };
}

function describeLeave({ announcement, leavingMs, leaveSequence }: ServerRun): LeaveRecord | undefined {
  return leavingMs === undefined ? undefined : { bornMs: announcement.bornMs, sequence: leaveSequence };
}
