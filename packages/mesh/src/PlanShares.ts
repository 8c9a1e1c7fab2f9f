import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';

const MS_PER_SECOND = 1_000;

/** Wait that adds as much load as if all slots were busy, in milliseconds. */
const FULL_WAIT_MS = 400;

/** Load added for a VM that is twice as slow as usual, as its requests miss their target latency more often. */
const SLOWDOWN_LOAD = 0.3;

/** Upper bound of the counted utilization: moves between overloaded owners gain nothing. */
const MAX_UTILIZATION = 1.5;

/** Minimum difference to the load of the least loaded owner for which keys are moved. */
const MIN_LOAD_DIFFERENCE = 0.25;

/** Minimum load that a receiver takes over in one move. */
const MIN_TRANSFERRED_LOAD = 0.05;

/** Lower bound of the counted slowdown. */
const MIN_SLOWDOWN = 0.25;

interface Deficit {
  readonly facts: OwnerLoadReport;
  readonly load: number;
}

/**
 * Divides the load of this owner that exceeds the mean among the owners below the mean, in proportion to their deficits.
 * It claims only its part of the deficits, since the other overloaded owners plan with the same figures. Returns an empty
 * list if no owner is clearly less loaded.
 */
export function planShares(
  own: OwnerLoadReport,
  others: readonly OwnerLoadReport[],
): readonly RangeReleaseRequest[] {
  const all = [own, ...others];
  const mean = all.reduce((sum, facts) => sum + computeLoad(facts), 0) / all.length;
  const excess = computeLoad(own) - mean;
  const receivers = others.filter(({ accepts }) => accepts);
  const lowest = Math.min(...receivers.map(computeLoad));
  if (excess <= 0 || computeLoad(own) <= 0 || computeLoad(own) - lowest < MIN_LOAD_DIFFERENCE) return [];
  const totalExcess = all.reduce((sum, facts) => sum + Math.max(0, computeLoad(facts) - mean), 0);
  const deficits = receivers.map((facts): Deficit => ({
    facts,
    load: Math.max(0, mean - computeLoad(facts)),
  }));
  const totalDeficit = deficits.reduce((sum, { load }) => sum + load, 0);
  const transferred = Math.min(excess, (totalDeficit * excess) / totalExcess);
  return deficits
    .map(({ facts, load }) => ({ facts, load: (transferred * load) / totalDeficit }))
    .filter(({ load }) => load >= MIN_TRANSFERRED_LOAD)
    .toSorted((left, right) => right.load - left.load)
    .map(({ facts, load }) => ({
      to: facts.serverId,
      workMsPerSecond: own.workMsPerSecond * Math.min(1, load / computeLoad(own)),
      share: 0,
      speedup: own.baseSlowdown / facts.baseSlowdown,
    }));
}

function computeLoad({ workMsPerSecond, slots, waitMs, baseSlowdown }: OwnerLoadReport): number {
  const utilization = Math.min(MAX_UTILIZATION, workMsPerSecond / (Math.max(1, slots) * MS_PER_SECOND));
  const slowdownLoad = SLOWDOWN_LOAD * Math.log2(Math.max(MIN_SLOWDOWN, baseSlowdown));
  return utilization + Math.min(1, waitMs / FULL_WAIT_MS) + slowdownLoad;
}
