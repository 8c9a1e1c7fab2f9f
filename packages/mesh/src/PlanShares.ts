import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';

/** Wait that counts as much as a full set of busy slots, in milliseconds. */
const FULL_WAIT_MS = 400;

/** Least difference of load to the least loaded owner for which keys are moved. */
const LEAST_DIFFERENCE = 0.25;

/** Least load that a receiver takes over in one move. */
const LEAST_SHARE = 0.05;

interface Deficit {
  readonly facts: BalanceFacts;
  readonly load: number;
}

/**
 * Divides the load of an owner above the mean among the owners below it, in proportion to their room. Other owners above
 * the mean that plan by the same figures claim the rest of that room. Empty if no owner is clearly less loaded.
 */
export function planShares(own: BalanceFacts, others: readonly BalanceFacts[]): readonly ReleaseRequest[] {
  const all = [own, ...others];
  const mean = all.reduce((sum, facts) => sum + loadOf(facts), 0) / all.length;
  const excess = loadOf(own) - mean;
  const receivers = others.filter(({ accepts }) => accepts);
  const least = Math.min(...receivers.map(loadOf));
  if (excess <= 0 || loadOf(own) - least < LEAST_DIFFERENCE) return [];
  const totalExcess = all.reduce((sum, facts) => sum + Math.max(0, loadOf(facts) - mean), 0);
  const deficits = receivers.map((facts): Deficit => ({
    facts,
    load: Math.max(0, mean - loadOf(facts)),
  }));
  const room = deficits.reduce((sum, { load }) => sum + load, 0);
  const given = Math.min(excess, (room * excess) / totalExcess);
  return deficits
    .map(({ facts, load }) => ({ facts, load: (given * load) / room }))
    .filter(({ load }) => load >= LEAST_SHARE)
    .toSorted((left, right) => right.load - left.load)
    .map(({ facts, load }) => ({
      to: facts.serverId,
      workMsPerSecond: (own.workMsPerSecond * load) / loadOf(own),
      share: 0,
      speedup: own.baseSlowdown / facts.baseSlowdown,
    }));
}

function loadOf({ workMsPerSecond, slots, waitMs }: BalanceFacts): number {
  return workMsPerSecond / (Math.max(1, slots) * 1_000) + Math.min(1, waitMs / FULL_WAIT_MS);
}
