import type { Cell } from '#assignment/Cell.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import type { Candidate } from '#balance/Candidate.js';
import type { RoutingView } from '#proxy/RoutingView.js';

interface Listed {
  readonly withdrawn: RoutingView['withdrawn'];
  readonly candidates: readonly Candidate[];
}

const listedByCell = new WeakMap<Cell, Listed>();

/** Lists the active members of a cell that operators have not taken out; computed once for each version of both. */
export function listCellCandidates(cell: Cell, withdrawn: RoutingView['withdrawn']): readonly Candidate[] {
  const known = listedByCell.get(cell);
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
  listedByCell.set(cell, { withdrawn, candidates });
  return candidates;
}
