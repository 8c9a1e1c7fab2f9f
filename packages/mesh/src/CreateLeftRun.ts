import type { Announcement } from '#mesh/Announcement.js';
import { formatIncarnation } from '#mesh/FormatIncarnation.js';
import type { ServerRun } from '#mesh/ServerRun.js';

type KnownFields = Pick<Announcement, 'instanceId' | 'bornMs' | 'sequence' | 'service' | 'slots'>;

/**
 * Creates a run that has left before this process heard of it. Its address is unknown, and the time in which it still serves
 * requests counts as over.
 */
export function createLeftRun(known: KnownFields, nowMs: number): ServerRun {
  return {
    announcement: { ...known, address: '', draining: true, coldLeftMs: 0, holds: [], released: [] },
    incarnation: formatIncarnation(known.instanceId, known.bornMs),
    announcedMs: nowMs,
    coldUntilMs: nowMs,
    leavingMs: -Infinity,
    leaveSequence: known.sequence,
  };
}
