import type { Cell } from '#assignment/Cell.js';
import type { Candidate } from '#balance/Candidate.js';

const candidatesByCell = new WeakMap<Cell, readonly Candidate[]>();

/** Lists the active members of a cell as candidates; computed once for each version of the cell. */
export function listCandidates(cell: Cell): readonly Candidate[] {
  const known = candidatesByCell.get(cell);
  if (known !== undefined) return known;
  const candidates = cell.members
    .filter(({ state }) => state === 'active')
    .map(({ serverId, region, failureDomain, slots }) => ({
      serverId,
      region,
      failureDomain,
      slots,
      share: 1,
      reportedLoad: 0,
    }));
  candidatesByCell.set(cell, candidates);
  return candidates;
}
