import type { DrainProgress } from '#admin/DrainProgress.js';
import type { Cell } from '#assignment/Cell.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';

/**
 * Reads how much of a withdrawal is still in use, from the members that it covers. Of a member that does not answer,
 * the shards in the cell count.
 */
export async function readDrain(
  caller: FleetCaller,
  cells: readonly Cell[],
  withdrawn: WithdrawalTarget,
): Promise<DrainProgress> {
  const covered = cells.flatMap((cell) =>
    cell.members
      .filter((member) => member.state !== 'gone' && isWithdrawn(member, [withdrawn]))
      .map((member) => ({ member, shards: listOwnedShards(cell, member.serverId).length })),
  );
  const members = covered.map(({ member }) => member);
  const answers = await caller.askAll<DaemonReport>(members, 'adminStatus', {});
  const rows = answers.map(({ answer }, index) => ({
    shards: Math.max(answer?.status.ownedShards ?? 0, covered[index]?.shards ?? 0),
    requests: answer?.requestsInFlight ?? 0,
  }));
  const shardsLeft = rows.reduce((sum, { shards }) => sum + shards, 0);
  const requestsInFlight = rows.reduce((sum, { requests }) => sum + requests, 0);
  const done = shardsLeft === 0 && requestsInFlight === 0;
  return { members: members.length, shardsLeft, requestsInFlight, done };
}
