import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import type { Suspect } from '#control/Suspect.js';

/** A report that waited longer, for example in a paused process, is checked anew by the witnesses. */
const MAX_REPORT_AGE_MS = 2_000;

/** Takes the shards of the suspects over, but for reports that are too old or of an earlier epoch of the member. */
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
