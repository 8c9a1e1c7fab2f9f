import type { LeaveRecord } from '#mesh/LeaveRecord.js';
import type { Presence } from '#mesh/Presence.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { ServerRun } from '#mesh/ServerRun.js';

type Publisher = Pick<PresenceOptions, 'identity' | 'address' | 'processId'>;

/** What the entry says of the daemon's lease and of its server's keys. */
interface Ownership {
  readonly term: number;
  readonly bornEra: number;
  readonly keysFreeMs: number | undefined;
}

/**
 * Creates the entry in which a daemon publishes itself, its lease's term, the first era of the store that it knew, the run
 * of the backend server beside it, and until when that run may hold keys if it is unreachable.
 */
export function createServerEntry(
  { identity, address, processId }: Publisher,
  presence: Presence,
  run: ServerRun | undefined,
  { term, bornEra, keysFreeMs }: Ownership,
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
    ...(keysFreeMs === undefined || presence.state !== 'absent' ? {} : { keysFreeMs }),
    ...(leave === undefined ? {} : { leave }),
  };
}

function describeLeave({ announcement, leavingMs, leaveSequence }: ServerRun): LeaveRecord | undefined {
  return leavingMs === undefined ? undefined : { bornMs: announcement.bornMs, sequence: leaveSequence };
}
