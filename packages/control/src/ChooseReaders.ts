import type { Cell } from '#assignment/Cell.js';
import { hashKey } from '#core/HashKey.js';

const READERS_PER_REGION = 2;

/** Chooses the members of a region that watch the store: the two live ones with the lowest rendezvous hashes. */
export function chooseReaders(cell: Cell, region: string): readonly string[] {
  return cell.members
    .filter((member) => member.state !== 'gone' && member.region === region)
    .map(({ serverId }) => ({ serverId, rank: hashKey(`reader/${serverId}`) }))
    .sort((left, right) => left.rank - right.rank)
    .slice(0, READERS_PER_REGION)
    .map(({ serverId }) => serverId);
}
