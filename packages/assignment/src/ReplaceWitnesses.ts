import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { dropUnreferenced } from '#assignment/DropUnreferenced.js';
import { findMember } from '#assignment/FindMember.js';
import type { WitnessCandidate } from '#assignment/WitnessCandidate.js';

/**
 * Gives a member a new grant (epoch + 1) with better witnesses; its shards keep their tokens. Returns the same cell if
 * the member is not live or no better set exists, so it may also be called after joins, without silent witnesses.
 */
export function replaceWitnesses(
  cell: Cell,
  serverId: string,
  silentWitnesses: readonly string[],
  peers: readonly WitnessCandidate[] = [],
): Cell {
  const holder = findMember(cell, serverId);
  if (holder === undefined || holder.state === 'gone') return cell;
  const witnesses = chooseWitnesses(cell, serverId, peers, silentWitnesses);
  const isSame =
    witnesses.length === holder.witnesses.length && witnesses.every((id) => holder.witnesses.includes(id));
  if (isSame) return cell;
  const renewed = { ...holder, epoch: holder.epoch + 1, witnesses };
  const members = cell.members.map((member) => (member === holder ? renewed : member));
  return dropUnreferenced({ ...cell, members });
}
