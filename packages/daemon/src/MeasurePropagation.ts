import type { PageRequest } from '#admin/PageRequest.js';
import type { Propagation } from '#admin/Propagation.js';
import type { PropagationRow } from '#admin/PropagationRow.js';
import type { Member } from '#assignment/Member.js';
import type { PeerDigest } from '#control/PeerDigest.js';
import { paginate } from '#daemon/Paginate.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';

type Versions = Pick<PropagationRow, 'catalogueVersion' | 'intentVersion'>;

/**
 * Lists the versions that all members have in force. Versions only increase, so a member that was already seen with the
 * newest ones is not called.
 */
export async function measurePropagation(
  caller: FleetCaller,
  members: readonly Member[],
  seen: readonly PeerDigest[],
  newest: Versions,
  nowMs: number,
  page: PageRequest,
): Promise<Propagation> {
  const seenById = new Map(seen.map((each) => [each.serverId, each]));
  const seenRows = members.map((member) => toRow(member, seenById.get(member.serverId), nowMs));
  const behind = new Set(seenRows.filter((row) => !isCurrent(row, newest)).map(({ serverId }) => serverId));
  const lagging = members.filter(({ serverId }) => behind.has(serverId));
  const responses = await caller.callAll<DaemonReport>(lagging, 'adminStatus', {});
  const fresh = new Map(responses.map(({ member, response }) => [member.serverId, response?.status]));
  const rows = seenRows.map((row) => {
    const status = fresh.get(row.serverId);
    if (status === undefined) return row;
    const { catalogueVersion, intentVersion } = status;
    return { ...row, catalogueVersion, intentVersion, ageMs: 0 };
  });
  const current = rows.filter((row) => isCurrent(row, newest)).length;
  const sortKey = (row: PropagationRow): string => `${isCurrent(row, newest) ? 1 : 0}/${row.serverId}`;
  return { ...newest, daemons: rows.length, current, rows: paginate(rows, sortKey, page) };
}

function toRow({ serverId, region }: Member, seen: PeerDigest | undefined, nowMs: number): PropagationRow {
  return {
    serverId,
    region,
    catalogueVersion: seen?.digest.c ?? 0,
    intentVersion: seen?.digest.i ?? 0,
    ageMs: seen === undefined ? 0 : Math.round(nowMs - seen.seenAtMs),
  };
}

function isCurrent(row: Versions, newest: Versions): boolean {
  return row.catalogueVersion >= newest.catalogueVersion && row.intentVersion >= newest.intentVersion;
}
