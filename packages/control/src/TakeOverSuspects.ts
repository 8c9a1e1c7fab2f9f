import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import type { Suspect } from '#control/Suspect.js';

/** Older reports, for example from before a pause of this process, are dropped; the witnesses repeat valid ones. */
const MAX_REPORT_AGE_MS = 2_000;

/** Takes over the shards of the suspects; skips reports that are too old or name another epoch than the cell. */
export function takeOverSuspects(
  cell: Cell,
  suspects: readonly Suspect[],
  nowMs: number,
  options: AssignOptions,
): Cell {
  const oldestMs = nowMs - MAX_REPORT_AGE_MS;
  const lost = suspects.filter(
    ({ serverId, epoch, atMs }) => atMs >= oldestMs && findMember(cell, serverId)?.epoch === epoch,
  );
  const ids = lost.map(({ serverId }) => serverId);
  return planTakeover(cell, ids, options);
}
