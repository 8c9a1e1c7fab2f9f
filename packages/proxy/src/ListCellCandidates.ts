import type { Cell } from '#assignment/Cell.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import type { Candidate } from '#balance/Candidate.js';
import type { RoutingView } from '#proxy/RoutingView.js';

/** Candidates of a cell, and the list of withdrawals that they were computed with. */
interface CachedCandidates {
  readonly withdrawn: RoutingView['withdrawn'];
  readonly candidates: readonly Candidate[];
}

const candidatesByCell = new WeakMap<Cell, CachedCandidates>();

/**
 * Lists the active members of a cell that operators have not withdrawn; cached until the cell or `withdrawn` changes.
 */
export function listCellCandidates(cell: Cell, withdrawn: RoutingView['withdrawn']): readonly Candidate[] {
  const known = candidatesByCell.get(cell);
  if (known?.withdrawn === withdrawn) return known.candidates;
  const candidates = cell.members
    .filter((member) => member.state === 'active' && !isWithdrawn(member, withdrawn))
    .map(({ serverId, region, failureDomain, slots }) => ({
      serverId,
      region,
      failureDomain,
      slots,
      share: 1,
      reportedLoad: 0,
    }));
  candidatesByCell.set(cell, { withdrawn, candidates });
  return candidates;
}
