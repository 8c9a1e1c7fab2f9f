import { hashKey } from '#core/HashKey.js';
import { allowsRegion } from '#assignment/AllowsRegion.js';
import type { LoadTally } from '#assignment/LoadTally.js';
import { readPlacement } from '#assignment/ReadPlacement.js';

/** Weight of a failure domain's utilization relative to that of the member. */
const DOMAIN_FACTOR = 0.25;

/**
 * Chooses the target in the regions of a shard that would be least utilized with it, counting the utilization of the
 * failure domain in part; ties are broken by rendezvous hash. Returns an empty string if there is no target. `excluded`
 * servers are not considered.
 */
export function chooseOwner(
  tally: LoadTally,
  shardId: string,
  weight: number,
  excluded: ReadonlySet<string> = new Set(),
): string {
  const placement = readPlacement(shardId);
  const ranked = tally.targets
    .filter((member) => allowsRegion(placement, member.region) && !excluded.has(member.serverId))
    .map(({ serverId }) => ({
      serverId,
      cost:
        tally.targetUtilization(serverId, weight) + DOMAIN_FACTOR * tally.domainUtilization(serverId, weight),
    }));
  const least = Math.min(...ranked.map(({ cost }) => cost));
  const tied = ranked.filter(({ cost }) => cost === least).map(({ serverId }) => serverId);
  if (tied.length <= 1) return tied[0] ?? '';
  return tied.reduce((left, right) =>
    hashKey(`${left}/${shardId}`) >= hashKey(`${right}/${shardId}`) ? left : right,
  );
}
