import { listOtherMembers } from '#assignment/ListOtherMembers.js';
import type { Directory } from '#control/Directory.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';

/** Part of the digests that go to a seed: 4,300 daemons then send 170 a second to all seeds together. */
const SEED_PROBABILITY = 0.02;

/** Picks the peer that gets the next digest: mostly a member of a known cell, and a seed without any. */
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
