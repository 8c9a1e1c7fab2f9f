import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import type { Directory } from '#control/Directory.js';

/** Lists the members of all cells by server id; of several entries of a server the one with the highest epoch counts. */
export function buildDirectory(cells: Iterable<Cell>): Directory {
  const directory = new Map<string, Member>();
  for (const cell of cells) {
    for (const member of cell.members) {
      const known = directory.get(member.serverId);
      if (known === undefined || known.epoch <= member.epoch) directory.set(member.serverId, member);
    }
  }
  return directory;
}
