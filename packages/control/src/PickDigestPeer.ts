import { listOtherMembers } from '#assignment/ListOtherMembers.js';
import type { Directory } from '#control/Directory.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';

/** Probability that a digest goes to a seed; 4,300 daemons then send 170 digests a second to all seeds together. */
const SEED_PROBABILITY = 0.02;

/** Picks the peer for the next digest: usually a member of a known cell; a seed at times, or if no member is known. */
export function pickDigestPeer(
  directory: Directory,
  seeds: readonly PeerAddress[],
  ownServerId: string,
  random: RandomSource,
): PeerAddress | undefined {
  const members = listOtherMembers(directory.values(), ownServerId);
  const useSeed = members.length === 0 || random.fraction() < SEED_PROBABILITY;
  return (useSeed ? random.pick(seeds) : undefined) ?? random.pick(members);
}
