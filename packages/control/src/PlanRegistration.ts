import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { joinCell } from '#assignment/JoinCell.js';
import { replaceWitnesses } from '#assignment/ReplaceWitnesses.js';
import type { RegistrationPlan } from '#control/RegistrationPlan.js';
import type { RegistrationRequest } from '#control/RegistrationRequest.js';

/**
 * Plans a new epoch for this daemon. A process that the cell still lists keeps its shards and tokens, because it still
 * has their idempotency records. A new process, or one whose shards were taken over, joins again.
 */
export function planRegistration(cell: Cell, request: RegistrationRequest): RegistrationPlan {
  const { facts, options } = request;
  const member = findMember(cell, facts.serverId);
  const isOtherProcess = member !== undefined && member.incarnation !== facts.incarnation;
  if (isOtherProcess && request.wasMember) return { type: 'replaced' };
  if (member === undefined || isOtherProcess || member.state === 'gone') {
    if (request.isLeaving) return { type: 'keep' };
    // The cell task places the shards of a new cell once most members have joined, not at the first join.
    const isNew = Object.keys(cell.shards).length === 0;
    const base = isNew ? cell : ensurePlacements(cell, request.placements, options);
    return { type: 'write', cell: joinCell(base, facts, options) };
  }
  if (request.reason === 'witnesses' || request.reason === 'witnessSilent') {
    const next = replaceWitnesses(cell, facts.serverId, request.silentWitnesses, options.peers);
    return next === cell ? { type: 'keep' } : { type: 'write', cell: next };
  }
  const witnesses = chooseWitnesses(cell, facts.serverId, options.peers, request.silentWitnesses);
  // Without witnesses nobody could renew the new epoch. When a witness appears, another registration follows.
  if (request.reason === 'expired' && witnesses.length === 0) return { type: 'keep' };
  return { type: 'write', cell: renewGrant(cell, facts.serverId, witnesses) };
}

function renewGrant(cell: Cell, serverId: string, witnesses: readonly string[]): Cell {
  const members = cell.members.map((member) =>
    member.serverId === serverId ? { ...member, epoch: member.epoch + 1, witnesses } : member,
  );
  return { ...cell, members };
}
