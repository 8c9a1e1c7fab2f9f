import type { DrainProgress } from '#admin/DrainProgress.js';
import type { Cell } from '#assignment/Cell.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';

/**
 * Sums up the shards and requests that members covered by a withdrawal still have. For a member that does not respond,
 * only the shards in the cell are counted.
 */
export async function readDrainProgress(
  caller: FleetCaller,
  cells: readonly Cell[],
  withdrawal: WithdrawalTarget,
): Promise<DrainProgress> {
  const covered = cells.flatMap((cell) =>
    cell.members
      .filter((member) => member.state !== 'gone' && isWithdrawn(member, [withdrawal]))
      .map((member) => ({ member, shards: listOwnedShards(cell, member.serverId).length })),
  );
  const members = covered.map(({ member }) => member);
  const responses = await caller.callAll<DaemonReport>(members, 'adminStatus', {});
  const rows = responses.map(({ response }, index) => ({
    shards: Math.max(response?.status.ownedShards ?? 0, covered[index]?.shards ?? 0),
    requests: response?.requestsInFlight ?? 0,
  }));
  const shardsLeft = rows.reduce((sum, { shards }) => sum + shards, 0);
  const requestsInFlight = rows.reduce((sum, { requests }) => sum + requests, 0);
  const done = shardsLeft === 0 && requestsInFlight === 0;
  return { members: members.length, shardsLeft, requestsInFlight, done };
}
