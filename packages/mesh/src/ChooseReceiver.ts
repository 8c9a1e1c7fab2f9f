import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';

/** Wait that counts as much as a full set of busy slots, in milliseconds. */
const FULL_WAIT_MS = 400;

/** Least difference of load for which keys are moved. */
const LEAST_DIFFERENCE = 0.25;

/** Part of an owner's work that is given away at once at most. */
const MAX_PART = 0.5;

/** Chooses the least loaded of the other owners for part of the work; undefined if none is clearly less loaded. */
export function chooseReceiver(
  own: BalanceFacts,
  others: readonly BalanceFacts[],
): ReleaseRequest | undefined {
  const receivers = others.filter(({ accepts }) => accepts).toSorted((a, b) => loadOf(a) - loadOf(b));
  const [least] = receivers;
  if (least === undefined) return undefined;
  const difference = loadOf(own) - loadOf(least);
  if (difference < LEAST_DIFFERENCE) return undefined;
  const part = Math.min(MAX_PART, difference / 2 / loadOf(own));
  return { to: least.serverId, workMsPerSecond: own.workMsPerSecond * part, share: 0 };
}

function loadOf({ workMsPerSecond, slots, waitMs }: BalanceFacts): number {
  return workMsPerSecond / (Math.max(1, slots) * 1_000) + Math.min(1, waitMs / FULL_WAIT_MS);
}
