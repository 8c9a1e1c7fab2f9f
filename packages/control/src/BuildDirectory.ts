import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import type { Directory } from '#control/Directory.js';

/** Maps server ids to the members of all cells; if several cells list a server, the highest epoch wins. */
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
