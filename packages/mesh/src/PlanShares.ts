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

/** Excess above the mean of the other owners from which an owner gives keys away; smaller ones pass. */
const MIN_EXCESS = 0.25;

/** Excess from which another owner is expected to give keys away, too, so that it claims part of the room. */
const CLAIMING_EXCESS = 0.15;

/** Minimum load that a receiver takes over in one move. */
const MIN_TRANSFERRED_LOAD = 0.04;

/**
 * The same if the owners have more load than capacity. All owners above the mean then claim room, and every excess is
 * divided, as otherwise few owners would be left with requests that the others could serve.
 */
const MIN_OVERLOAD_TRANSFER = 0.05;

/** Lower bound of the counted slowdown. */
const MIN_SLOWDOWN = 0.25;

interface Room {
  readonly facts: OwnerLoadReport;
  /** Work that the receiver takes over, in milliseconds per second of a VM that is neither slow nor fast. */
  readonly work: number;
}

/**
 * Divides the load of this owner that exceeds the mean among the owners below the mean. Owners count by the work that they
 * can do, so that a slow one receives less and the mean is what each of them is to bear. The owners with most room come
 * first, and no more than needed: each receiver costs a move. It claims only its part of the room, since the other
 * overloaded owners plan with the same figures. Returns an empty list if no owner is clearly less loaded.
 */
export function planShares(
  own: OwnerLoadReport,
  others: readonly OwnerLoadReport[],
): readonly RangeReleaseRequest[] {
  const all = [own, ...others];
  const mean = computeMean(all);
  const isShort = mean >= 1;
  const ownLoad = computeLoad(own);
  const receivers = others.filter(({ accepts }) => accepts);
  const lowest = Math.min(...receivers.map(computeLoad));
  const leastLoad = isShort ? mean : Math.max(0, mean, computeMean(others) + MIN_EXCESS);
  if (others.length === 0 || ownLoad <= leastLoad || ownLoad - lowest < MIN_LOAD_DIFFERENCE) return [];
  const excess = (ownLoad - mean) * computeCapacity(own);
  const claimingLoad = mean + (isShort ? 0 : CLAIMING_EXCESS);
  const claiming = all.filter((facts) => facts === own || computeLoad(facts) > claimingLoad);
  const totalExcess = sum(claiming, (facts) => (computeLoad(facts) - mean) * computeCapacity(facts));
  const leastTransfer = isShort ? MIN_OVERLOAD_TRANSFER : MIN_TRANSFERRED_LOAD;
  const rooms = receivers
    .map((facts): Room => ({
      facts,
      work: (Math.max(0, mean - computeLoad(facts)) * computeCapacity(facts) * excess) / totalExcess,
    }))
    .filter(({ facts, work }) => work >= leastTransfer * computeCapacity(facts))
    .toSorted((left, right) => right.work - left.work);
  return takeRooms(rooms, excess).map(({ facts, work }) => ({
    to: facts.serverId,
    workMsPerSecond: own.workMsPerSecond * Math.min(1, work / computeCapacity(own) / ownLoad),
    share: 0,
    speedup: own.baseSlowdown / facts.baseSlowdown,
  }));
}

/** Takes rooms in order until they hold the excess; those that are taken are filled to the same degree. */
function takeRooms(rooms: readonly Room[], excess: number): readonly Room[] {
  const before = rooms.map((_, index) => sum(rooms.slice(0, index), ({ work }) => work));
  const taken = rooms.filter((_, index) => (before[index] ?? 0) < excess);
  const degree = Math.min(1, excess / sum(taken, ({ work }) => work));
  return taken.map(({ facts, work }) => ({ facts, work: work * degree }));
}

/** Mean load of owners, weighted by the work that they can do. */
function computeMean(owners: readonly OwnerLoadReport[]): number {
  return sum(owners, (facts) => computeLoad(facts) * computeCapacity(facts)) / sum(owners, computeCapacity);
}

/** Work that the owner's VM can do, in milliseconds per second of a VM that is neither slow nor fast. */
function computeCapacity({ slots, baseSlowdown }: OwnerLoadReport): number {
  return (Math.max(1, slots) * MS_PER_SECOND) / Math.max(MIN_SLOWDOWN, baseSlowdown);
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function computeLoad({ workMsPerSecond, slots, waitMs, baseSlowdown }: OwnerLoadReport): number {
  const utilization = Math.min(MAX_UTILIZATION, workMsPerSecond / (Math.max(1, slots) * MS_PER_SECOND));
  const slowdownLoad = SLOWDOWN_LOAD * Math.log2(Math.max(MIN_SLOWDOWN, baseSlowdown));
  return utilization + Math.min(1, waitMs / FULL_WAIT_MS) + slowdownLoad;
}
