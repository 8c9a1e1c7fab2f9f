import { Left, Right, type Either } from 'purify-ts';
import type { Cell } from '#assignment/Cell.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import { findKeyOwner } from '#assignment/FindKeyOwner.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import type { Member } from '#assignment/Member.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { listCellCandidates } from '#proxy/ListCellCandidates.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import type { Target } from '#proxy/Target.js';
import type { TargetFacts } from '#proxy/TargetFacts.js';

const RETRY_AFTER_MS = 50;

/** Chooses the daemon that runs a request: the owner of its key, or else a member chosen by the balancing policy. */
export function chooseTarget(
  view: RoutingView,
  facts: TargetFacts,
  policy: BalancePolicy,
  random: RandomSource,
  nowMs: number,
): Either<RouterErrorFields, Target> {
  const { head, checked } = facts;
  const index = findCellIndex(head.key, checked.service.cells);
  const cell = view.cells.get(formatCellKey(head.service, index));
  if (cell === undefined) return refuse('noCell', 503);
  const member = checked.needsOwnership
    ? findKeyOwner(cell, checked.entry.homeRegions, head.key)
    : choosePeer(cell, view, facts, policy, random, nowMs);
  if (member === undefined) return refuse(checked.needsOwnership ? 'noOwner' : 'noBackendServer', 503);
  return Right({ member, crossesRegions: member.region !== facts.region });
}

function choosePeer(
  cell: Cell,
  view: RoutingView,
  facts: TargetFacts,
  policy: BalancePolicy,
  random: RandomSource,
  nowMs: number,
): Member | undefined {
  const { region, failureDomain } = facts;
  const { homeRegions, limits } = facts.checked.entry;
  const otherRegions = limits.interRegionBytesPerSecond > 0;
  const choose = (excluded: ReadonlySet<string>): Candidate | undefined =>
    policy.choose(
      listCellCandidates(cell, view.withdrawn),
      { region, failureDomain, homeRegions, otherRegions, excluded },
      random,
      nowMs,
    );
  // If all servers were tried or ejected, trying one of them again is better than refusing the request.
  const candidate = choose(facts.excluded) ?? choose(new Set());
  return cell.members.find((member) => member.serverId === candidate?.serverId);
}

function refuse(code: string, status: number): Either<RouterErrorFields, Target> {
  return Left({ code, step: 'route', peer: '', ran: 'not run', status, retryAfterMs: RETRY_AFTER_MS });
}
