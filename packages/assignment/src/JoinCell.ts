import { RouterError } from '#core/RouterError.js';
import type { AssignOptions } from '#assignment/AssignOptions.js';
import { assignShards } from '#assignment/AssignShards.js';
import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { createFence } from '#assignment/CreateFence.js';
import { dropUnreferenced } from '#assignment/DropUnreferenced.js';
import { findMember } from '#assignment/FindMember.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Member } from '#assignment/Member.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';

/** Bounds the size of a cell object, and with it the traffic that each change of the cell causes. */
const MAX_MEMBERS = 64;

/**
 * Adds a member, or gives an existing server id a new grant. A server that joins again gets a fence for its old epoch
 * and new tokens for its shards, as it lost its idempotency records. Unowned shards are assigned at once; shards of
 * other members don't change. Throws a `RouterError` (`cellFull`) beyond 64 members that are not `gone`.
 */
export function joinCell(cell: Cell, facts: MemberFacts, options: AssignOptions = {}): Cell {
  const old = findMember(cell, facts.serverId);
  const live = cell.members.filter((member) => member.state !== 'gone').length;
  if (old === undefined && live >= MAX_MEMBERS) throw createFullError(facts.serverId);
  const fenced = old === undefined ? cell : fenceOwnGrant(cell, old, options.graceMs ?? 0);
  const updated = putMember(fenced, old, facts);
  const witnesses = chooseWitnesses(updated, facts.serverId, options.peers);
  const members = updated.members.map((member) =>
    member.serverId === facts.serverId ? { ...member, witnesses } : member,
  );
  const joined = { ...updated, members };
  return dropUnreferenced(assignShards(joined, listOwnedShards(joined, ''), options));
}

function fenceOwnGrant(cell: Cell, old: Member, graceMs: number): Cell {
  const owned = listOwnedShards(cell, old.serverId);
  if (owned.length === 0) return cell;
  const fence = createFence(cell, old, graceMs);
  const changed = owned.map((shardId) => {
    const fences = [...(cell.shards[shardId]?.fences ?? []), fence.id];
    return [shardId, { owner: old.serverId, token: cell.version + 1, fences }] as const;
  });
  const shards = { ...cell.shards, ...Object.fromEntries(changed) };
  return { ...cell, shards, fences: [...cell.fences, fence] };
}

/**
 * Adds a member or replaces its entry. A new member starts at epoch `version + 1`. Every epoch is at most the version
 * that wrote it, so this exceeds the epochs that the same server id had before it was dropped from the cell.
 */
function putMember(cell: Cell, old: Member | undefined, facts: MemberFacts): Cell {
  const epoch = old === undefined ? cell.version + 1 : old.epoch + 1;
  const member: Member = { ...facts, epoch, state: 'active', witnesses: [] };
  const members =
    old === undefined
      ? [...cell.members, member]
      : cell.members.map((other) => (other === old ? member : other));
  return { ...cell, members };
}

function createFullError(serverId: string): RouterError {
  return new RouterError(
    { code: 'cellFull', step: 'join', peer: serverId, ran: 'not run', status: 503 },
    `the cell has ${MAX_MEMBERS} members`,
  );
}
