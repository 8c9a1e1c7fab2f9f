import type { Either } from 'purify-ts';
import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import { findShard } from '#assignment/FindShard.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import { checkRequest } from '#proxy/CheckRequest.js';
import { chooseTarget } from '#proxy/ChooseTarget.js';
import type { OwnFacts } from '#daemon/OwnFacts.js';
import type { EntryIdentity } from '#proxy/EntryIdentity.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import type { Target } from '#proxy/Target.js';

/** Determines with the functions of the request path what a daemon would do with a request, without running it. */
export function explainRequest(
  view: RoutingView,
  identity: EntryIdentity,
  query: ExplainQuery,
  own: OwnFacts,
  policy: BalancePolicy,
  random: RandomSource,
): ExplainedDaemon {
  const head = createHead(query);
  const { serverId, region, failureDomain } = identity;
  const decided: Either<RouterErrorFields, { readonly checked: CheckedRequest; readonly target: Target }> =
    checkRequest(view, head, region).chain((checked) =>
      chooseTarget(
        view,
        { head, checked, region, failureDomain, excluded: new Set() },
        policy,
        random,
        0,
      ).map((target) => ({ checked, target })),
    );
  return decided.caseOf({
    Left: ({ code, step, at = [] }) => ({
      serverId,
      decision: 'refuse',
      code,
      reason: `refused at step ${step}`,
      to: at,
    }),
    Right: ({ checked, target: { member } }) => {
      const reason = explainTarget(view, head, checked, member.serverId);
      if (member.serverId === serverId)
        return explainLocalDecision(serverId, checked.needsOwnership, own, reason);
      const to = [`${member.host}:${member.callerPort}`];
      return { serverId, decision: 'forward', code: '', reason, to };
    },
  });
}

function explainLocalDecision(
  serverId: string,
  needsOwnership: boolean,
  own: OwnFacts,
  reason: string,
): ExplainedDaemon {
  const refusal = { serverId, decision: 'refuse', to: [] } as const;
  if (needsOwnership && !own.hasLease)
    return { ...refusal, code: 'notOwner', reason: `${reason}, but its lease has expired` };
  if (!own.hasBackend)
    return { ...refusal, code: 'backendAbsent', reason: 'the daemon has no backend server' };
  return { serverId, decision: 'serve', code: '', reason, to: [] };
}

function createHead({ team, service, class: requestClass, key, deadlineMs }: ExplainQuery): RequestHead {
  return {
    requestId: 'explain',
    method: 'GET',
    service,
    path: '/',
    team,
    class: requestClass,
    key,
    deadlineMs,
    // Stands for the idempotency key that a caller would send.
    idempotencyKey: 'explain',
    epoch: '',
    contentLength: 0,
    headers: {},
  };
}

function explainTarget(
  view: RoutingView,
  head: RequestHead,
  checked: CheckedRequest,
  serverId: string,
): string {
  if (!checked.needsOwnership) return `${serverId} is one of the members that the balance policy may choose`;
  const cell = view.cells.get(formatCellKey(head.service, findCellIndex(head.key, checked.service.cells)));
  const found = cell && findShard(cell, formatPlacement(checked.entry.homeRegions), head.key);
  return `${serverId} owns shard ${found?.shardId ?? ''}`;
}
