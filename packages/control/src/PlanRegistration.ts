import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { joinCell } from '#assignment/JoinCell.js';
import { replaceWitnesses } from '#assignment/ReplaceWitnesses.js';
import type { RegistrationPlan } from '#control/RegistrationPlan.js';
import type { RegistrationRequest } from '#control/RegistrationRequest.js';

/**
 * Plans a new epoch of this daemon. A process that is still listed keeps its shards and their tokens, because it kept
 * its idempotency records; a new process, or one whose shards were taken, joins again.
 */
export function planRegistration(cell: Cell, request: RegistrationRequest): RegistrationPlan {
  const { facts, options } = request;
  const member = findMember(cell, facts.serverId);
  const isOther = member !== undefined && member.incarnation !== facts.incarnation;
  if (isOther && request.wasMember) return { type: 'replaced' };
  if (member === undefined || isOther || member.state === 'gone') {
    if (request.isLeaving) return { type: 'keep' };
    // The shards of a new cell are placed once its members have gathered.
    const isNew = Object.keys(cell.shards).length === 0;
    const tabled = isNew ? cell : ensurePlacements(cell, request.placements, options);
    return { type: 'write', cell: joinCell(tabled, facts, options) };
  }
  if (request.reason === 'witnesses' || request.reason === 'witnessSilent') {
    const next = replaceWitnesses(cell, facts.serverId, request.silentWitnesses, options.peers);
    return next === cell ? { type: 'keep' } : { type: 'write', cell: next };
  }
  const witnesses = chooseWitnesses(cell, facts.serverId, options.peers, request.silentWitnesses);
  // Nobody could renew the new epoch; a witness that appears later leads to one of its own.
  if (request.reason === 'expired' && witnesses.length === 0) return { type: 'keep' };
  return { type: 'write', cell: renewGrant(cell, facts.serverId, witnesses) };
}

function renewGrant(cell: Cell, serverId: string, witnesses: readonly string[]): Cell {
  const members = cell.members.map((member) =>
    member.serverId === serverId ? { ...member, epoch: member.epoch + 1, witnesses } : member,
  );
  return { ...cell, members };
}
