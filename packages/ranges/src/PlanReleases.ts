import type { OwnerLoad } from '#ranges/OwnerLoad.js';
import type { PlannedRelease } from '#ranges/PlannedRelease.js';

/** Utilisation of slots below which a move between owners that both have keys gains nothing. */
const BUSY_UTILISATION = 0.45;

/** An owner above the average by this factor gives work away. */
const UNEVEN_FACTOR = 1.3;

/** Owners that give keys to one owner without any. */
const DONORS = 2;

/**
 * Plans moves of keys: an owner without keys receives its part from the busiest ones, and the busiest owner gives to the
 * least busy one if the difference is worth moving keys.
 */
export function planReleases(loads: readonly OwnerLoad[]): readonly PlannedRelease[] {
  const donors = loads.filter(({ hasKeys }) => hasKeys).toSorted((a, b) => utilisation(b) - utilisation(a));
  const empty = loads.filter(({ hasKeys }) => !hasKeys);
  if (donors.length === 0) return [];
  if (empty.length > 0) return planFilling(donors, empty);
  return planEvening(loads, donors);
}

function planFilling(donors: readonly OwnerLoad[], empty: readonly OwnerLoad[]): readonly PlannedRelease[] {
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

function planEvening(loads: readonly OwnerLoad[], donors: readonly OwnerLoad[]): readonly PlannedRelease[] {
  const [busiest] = donors;
  const idlest = donors.at(-1);
  if (busiest === undefined || idlest === undefined || busiest === idlest) return [];
  const mean = loads.reduce((sum, load) => sum + utilisation(load), 0) / loads.length;
  const high = utilisation(busiest);
  if (high < BUSY_UTILISATION || high < mean * UNEVEN_FACTOR) return [];
  const excess = Math.min(high - mean, (high - utilisation(idlest)) / 2);
  const workMsPerSecond = excess * busiest.slots * 1_000;
  return [{ from: busiest.owner, to: idlest.owner, workMsPerSecond, share: 0 }];
}

function utilisation({ workMsPerSecond, slots }: OwnerLoad): number {
  return workMsPerSecond / (Math.max(1, slots) * 1_000);
}
