import type { Cell } from '#assignment/Cell.js';

interface FleetPosition {
  /** Rank by server id, starting at 0; -1 for a daemon that is not a member. */
  readonly rank: number;
  readonly size: number;
}

/** Finds the position of a daemon among the members of all known cells, without members in the state `gone`. */
export function findFleetPosition(cells: Iterable<Cell>, serverId: string): FleetPosition {
  const members = [...cells].flatMap((cell) => cell.members).filter(({ state }) => state !== 'gone');
  const ids = [...new Set(members.map((member) => member.serverId))].sort();
  return { rank: ids.indexOf(serverId), size: ids.length };
}
