import type { RangeOwnerLoad } from '#ranges/RangeOwnerLoad.js';
import type { PlannedRelease } from '#ranges/PlannedRelease.js';

/** Owners that give keys to one owner without any. */
const DONORS = 2;

/** Plans moves of keys to owners without any: each receives its part from the busiest ones. */
export function planReleases(loads: readonly RangeOwnerLoad[]): readonly PlannedRelease[] {
  const donors = loads.filter(({ hasKeys }) => hasKeys).toSorted((a, b) => utilisation(b) - utilisation(a));
  const empty = loads.filter(({ hasKeys }) => !hasKeys);
  return donors.length === 0 ? [] : planFilling(donors, empty);
}

function planFilling(
  donors: readonly RangeOwnerLoad[],
  empty: readonly RangeOwnerLoad[],
): readonly PlannedRelease[] {
  const total = donors.reduce((sum, { workMsPerSecond }) => sum + workMsPerSecond, 0);
  const wanted = total / (donors.length + empty.length);
  const givers = Math.min(DONORS, donors.length);
  const keyShare = donors.length / (donors.length + empty.length) / givers;
  return empty.flatMap((receiver, index) =>
    Array.from({ length: givers }, (_, offset) => donors[(index * givers + offset) % donors.length]).flatMap(
      (donor) =>
        donor === undefined
          ? []
          : [
              {
                from: donor.owner,
                to: receiver.owner,
                workMsPerSecond: wanted / givers,
                share: Math.min(0.5, keyShare),
              },
            ],
    ),
  );
}

function utilisation({ workMsPerSecond, slots }: RangeOwnerLoad): number {
  return workMsPerSecond / (Math.max(1, slots) * 1_000);
}
