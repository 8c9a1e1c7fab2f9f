import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

const MS_PER_SECOND = 1_000;

/** Wait that counts as much as a full set of busy slots, in milliseconds. */
const FULL_WAIT_MS = 400;

/** Load that a VM twice as slow as usual counts for by itself, as its orders more often miss their target. */
const SLOW_LOAD = 0.3;

/** Use above this counts as this: owners that are all overloaded gain nothing from moves. */
const MOST_USE = 1.5;

/** Least difference of load to the least loaded owner for which keys are moved. */
const LEAST_DIFFERENCE = 0.25;

/** Least load that a receiver takes over in one move. */
const LEAST_SHARE = 0.05;

/** Slowdowns below this count as this. */
const LEAST_SLOWDOWN = 0.25;

interface Deficit {
  readonly facts: BalanceFacts;
  readonly load: number;
}

/**
 * Divides the load of an owner above the mean among the owners below it, in proportion to their room. Other owners above
 * the mean that plan by the same figures claim the rest of that room. Empty if no owner is clearly less loaded.
 */
export function planShares(
  own: BalanceFacts,
  others: readonly BalanceFacts[],
): readonly RangeReleaseRequest[] {
  const all = [own, ...others];
  const mean = all.reduce((sum, facts) => sum + loadOf(facts), 0) / all.length;
  const excess = loadOf(own) - mean;
  const receivers = others.filter(({ accepts }) => accepts);
  const least = Math.min(...receivers.map(loadOf));
  if (excess <= 0 || loadOf(own) <= 0 || loadOf(own) - least < LEAST_DIFFERENCE) return [];
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
      workMsPerSecond: own.workMsPerSecond * Math.min(1, load / loadOf(own)),
      share: 0,
      speedup: own.baseSlowdown / facts.baseSlowdown,
    }));
}

function loadOf({ workMsPerSecond, slots, waitMs, baseSlowdown }: BalanceFacts): number {
  const use = Math.min(MOST_USE, workMsPerSecond / (Math.max(1, slots) * MS_PER_SECOND));
  const slow = SLOW_LOAD * Math.log2(Math.max(LEAST_SLOWDOWN, baseSlowdown));
  return use + Math.min(1, waitMs / FULL_WAIT_MS) + slow;
}
