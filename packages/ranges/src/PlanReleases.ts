import type { RangeOwnerLoad } from '#ranges/RangeOwnerLoad.js';
import type { PlannedRelease } from '#ranges/PlannedRelease.js';

/** Number of owners that release keys to each owner without keys. */
const DONORS_PER_RECEIVER = 2;

/**
 * Plans releases of keys from the busiest owners to those without keys, in proportion to the slots of those: how fast they
 * are is not known before they have run requests.
 */
export function planReleases(loads: readonly RangeOwnerLoad[]): readonly PlannedRelease[] {
  const donors = loads.filter(({ hasKeys }) => hasKeys).toSorted((a, b) => utilisation(b) - utilisation(a));
  const empty = loads.filter(({ hasKeys }) => !hasKeys);
  return donors.length === 0 ? [] : planForReceivers(donors, empty);
}

function planForReceivers(
  donors: readonly RangeOwnerLoad[],
  empty: readonly RangeOwnerLoad[],
): readonly PlannedRelease[] {
  const total = donors.reduce((sum, { workMsPerSecond }) => sum + workMsPerSecond, 0);
  const allSlots = [...donors, ...empty].reduce((sum, { slots }) => sum + Math.max(1, slots), 0);
  const donorCount = Math.min(DONORS_PER_RECEIVER, donors.length);
  const keyShare = donors.length / (donors.length + empty.length) / donorCount;
  return empty.flatMap((receiver, index) =>
    Array.from(
      { length: donorCount },
      (_, offset) => donors[(index * donorCount + offset) % donors.length],
    ).flatMap((donor) =>
      donor === undefined
        ? []
        : [
            {
              from: donor.owner,
              to: receiver.owner,
              workMsPerSecond: (total * Math.max(1, receiver.slots)) / allSlots / donorCount,
              share: Math.min(0.5, keyShare),
            },
          ],
    ),
  );
}

function utilisation({ workMsPerSecond, slots }: RangeOwnerLoad): number {
  return workMsPerSecond / (Math.max(1, slots) * 1_000);
}
